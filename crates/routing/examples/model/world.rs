//! The events of the simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::AttemptKey;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::Share;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use slotmap::SlotMap;

use crate::engine::BATCH;
use crate::engine::Engine;
use crate::engine::full_duration;
use crate::policy::Chooser;
use crate::policy::Policy;

const ENGINES: usize = 20;
const INSTANCES: u32 = 6;
const PREFIXES: f64 = 400.0;
const MEAN_TOKENS: f64 = 150.0;
const MINUTE: f64 = 60_000.0;
/// Slots on each engine that the routers may use.
const SLOTS: u32 = 24;
const REPORT_EVERY: f64 = 500.0;
const REPORT_LAG: u64 = 1000;
const LIST_LAG: f64 = 10_000.0;
const STRAGGLER: usize = 3;
const CRASHED: usize = 7;

/// The minutes of a run; the first is a warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Warming,
    Steady,
    Straggler,
    Crash,
}

impl Phase {
    fn at(now: f64) -> Phase {
        match (now / MINUTE) as u64 {
            0 => Phase::Warming,
            1 => Phase::Steady,
            2 => Phase::Straggler,
            _ => Phase::Crash,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    First(usize),
    End(usize),
    Report,
}

#[derive(Clone, Debug)]
struct Request {
    arrived: f64,
    prefix: u64,
    tokens: f64,
    instance: usize,
    server: usize,
    attempt: Option<AttemptKey>,
    tried: Vec<ServerKey>,
    first_token_ms: Option<u64>,
    ended: bool,
}

/// Counts of failures and of cached prefixes.
#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) refused: u32,
    pub(crate) cut: u32,
    pub(crate) hits: u32,
    pub(crate) started: u32,
}

pub(crate) struct World {
    policy: Policy,
    rng: Xoshiro256PlusPlus,
    mean_gap: f64,
    now: f64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    events_pushed: u64,
    engines: Vec<Engine>,
    past_reports: VecDeque<Vec<LoadReport>>,
    keys: Vec<ServerKey>,
    choosers: Vec<Chooser>,
    queued: Vec<VecDeque<usize>>,
    requests: Vec<Request>,
    pub(crate) counts: Counts,
}

impl World {
    pub(crate) fn new(policy: Policy, load: f64) -> World {
        let mut arena: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let keys: Vec<ServerKey> = (0..ENGINES).map(|_| arena.insert(())).collect();
        let chooser = |index| {
            let share = Share {
                instances: INSTANCES,
                index,
            };
            Chooser::new(policy, &keys, SLOTS, share)
        };
        let capacity = (ENGINES * BATCH) as f64 / full_duration(MEAN_TOKENS);
        World {
            policy,
            rng: Xoshiro256PlusPlus::seed_from_u64(11),
            mean_gap: 1.0 / (capacity * load),
            now: 0.0,
            queue: BinaryHeap::new(),
            events_pushed: 0,
            engines: (0..ENGINES).map(|_| Engine::new()).collect(),
            past_reports: VecDeque::new(),
            choosers: (0..INSTANCES).map(chooser).collect(),
            keys,
            queued: vec![VecDeque::new(); INSTANCES as usize],
            requests: Vec::new(),
            counts: Counts::default(),
        }
    }

    pub(crate) fn policy_name(&self) -> String {
        self.policy.name()
    }

    /// Times to first token of the requests that arrived in `phase`, in milliseconds. A cut request
    /// counts as 60 s.
    pub(crate) fn waits(&self, phase: Phase) -> Vec<u64> {
        let of_phase = |r: &&Request| Phase::at(r.arrived) == phase;
        let requests = self.requests.iter().filter(of_phase);
        requests
            .map(|r| r.first_token_ms.unwrap_or(60_000))
            .collect()
    }

    pub(crate) fn run(&mut self) {
        self.after(0.0, Event::Arrive);
        self.after(0.0, Event::Report);
        while let Some(Reverse((time, _, event))) = self.queue.pop() {
            self.now = f64::from_bits(time);
            match event {
                Event::Arrive => self.arrive(),
                Event::First(request) => self.first(request),
                Event::End(request) => self.end(request),
                Event::Report => self.report(),
            }
        }
    }

    fn clock(&self) -> Millis {
        Millis(1000 + self.now as u64)
    }

    fn after(&mut self, span: f64, event: Event) {
        self.events_pushed += 1;
        let time = (self.now + span).to_bits();
        self.queue.push(Reverse((time, self.events_pushed, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive(&mut self) {
        if self.now < 4.0 * MINUTE {
            let gap = self.exponential(self.mean_gap);
            self.after(gap, Event::Arrive);
        }
        // A few prefixes are popular.
        let skewed = self.rng.random::<f64>().powi(2);
        let tokens = self.exponential(MEAN_TOKENS).clamp(4.0, 2000.0);
        let instance = self.rng.random_range(0..INSTANCES as usize);
        self.requests.push(Request {
            arrived: self.now,
            prefix: (skewed * PREFIXES) as u64,
            tokens,
            instance,
            server: 0,
            attempt: None,
            tried: Vec::new(),
            first_token_ms: None,
            ended: false,
        });
        self.queued[instance].push_back(self.requests.len() - 1);
        self.dispatch(instance);
    }

    fn dispatch(&mut self, instance: usize) {
        while let Some(&id) = self.queued[instance].front() {
            let now = self.clock();
            let request = &self.requests[id];
            let chooser = &mut self.choosers[instance];
            let chosen = chooser.choose(&self.keys, request.prefix, &request.tried, now);
            let Some(choice) = chosen else {
                return;
            };
            if self.engines[choice.server].crashed {
                chooser.done(choice.attempt, Outcome::Refused, 0, now);
                self.requests[id].tried.push(self.keys[choice.server]);
                self.counts.refused += 1;
                continue;
            }
            self.queued[instance].pop_front();
            self.requests[id].server = choice.server;
            self.requests[id].attempt = choice.attempt;
            self.engines[choice.server].waiting.push_back(id);
            self.serve(choice.server);
        }
    }

    fn serve(&mut self, server: usize) {
        let engine = &mut self.engines[server];
        if !engine.has_room() {
            return;
        }
        let Some(id) = engine.waiting.pop_front() else {
            return;
        };
        let request = &self.requests[id];
        let started = engine.start(id, request.prefix, request.tokens);
        self.counts.started += 1;
        self.counts.hits += u32::from(started.hit);
        self.after(started.first, Event::First(id));
        self.after(started.end, Event::End(id));
    }

    fn first(&mut self, id: usize) {
        let now = self.clock();
        let request = &mut self.requests[id];
        if !request.ended {
            request.first_token_ms = Some((self.now - request.arrived) as u64);
            self.choosers[request.instance].first_byte(request.attempt, now);
        }
    }

    fn end(&mut self, id: usize) {
        if self.requests[id].ended {
            return;
        }
        self.finish(id, Outcome::Complete);
        let server = self.requests[id].server;
        self.engines[server].running.retain(|&other| other != id);
        self.serve(server);
        self.dispatch(self.requests[id].instance);
    }

    fn finish(&mut self, id: usize, outcome: Outcome) {
        let now = self.clock();
        let request = &mut self.requests[id];
        request.ended = true;
        let tokens = request.tokens as u32;
        self.choosers[request.instance].done(request.attempt, outcome, tokens, now);
    }

    fn report(&mut self) {
        if self.now < 4.0 * MINUTE {
            self.after(REPORT_EVERY, Event::Report);
        }
        self.apply_faults();
        let of = |engine: &Engine| LoadReport {
            running: engine.running.len() as u32,
            waiting: engine.waiting.len() as u32,
            age: Millis(REPORT_LAG),
            ..LoadReport::default()
        };
        self.past_reports
            .push_back(self.engines.iter().map(of).collect());
        let now = self.clock();
        let crash_listed = self.now >= 3.0 * MINUTE + LIST_LAG;
        let live: Vec<usize> = (0..ENGINES)
            .filter(|&at| !crash_listed || at != CRASHED)
            .collect();
        for chooser in &mut self.choosers {
            chooser.list(&live, &self.keys, 1 + self.now as u64, now);
        }
        if self.past_reports.len() as f64 * REPORT_EVERY <= REPORT_LAG as f64 {
            return;
        }
        let reports = self.past_reports.pop_front().unwrap_or_default();
        for (at, report) in reports.into_iter().enumerate() {
            for chooser in &mut self.choosers {
                chooser.report(self.keys[at], report, now);
            }
        }
    }

    /// Applies the faults of the current phase to the engines.
    fn apply_faults(&mut self) {
        let phase = Phase::at(self.now);
        self.engines[STRAGGLER].slowdown = if phase == Phase::Straggler { 5.0 } else { 1.0 };
        if phase != Phase::Crash || self.engines[CRASHED].crashed {
            return;
        }
        let engine = &mut self.engines[CRASHED];
        engine.crashed = true;
        let lost: Vec<usize> = engine
            .running
            .drain(..)
            .chain(engine.waiting.drain(..))
            .collect();
        for id in lost {
            self.finish(id, Outcome::Cut);
            self.counts.cut += 1;
        }
    }
}
