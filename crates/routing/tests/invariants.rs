//! Invariants of a router after any sequence of events.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests, where the lint looks for test functions only"
)]

mod common;

use common::Fleet;
use common::SLOTS;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::AttemptKey;
use crocushold_routing::Demand;
use crocushold_routing::Fault;
use crocushold_routing::ListVerdict;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::ServerSpec;
use crocushold_routing::Share;
use crocushold_routing::Standing;
use crocushold_routing::State;
use proptest::prelude::*;
use proptest::sample::subsequence;
use slotmap::SecondaryMap;

const SERVERS: usize = 7;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Pick {
        prefix: Option<u64>,
        tried: Vec<usize>,
    },
    FirstByte(usize),
    Done(usize, Outcome, u32),
    List {
        live: Vec<usize>,
        leaving: Vec<usize>,
    },
    NoList,
    Configure(Vec<usize>),
    Instances(u32),
    Report(usize, u32),
}

fn some_servers() -> impl Strategy<Value = Vec<usize>> {
    subsequence((0..SERVERS).collect::<Vec<_>>(), 0..=SERVERS)
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Complete),
        1 => Just(Outcome::Cancelled),
        1 => Just(Outcome::Refused),
        2 => Just(Outcome::Cut),
        2 => Just(Outcome::TimedOut),
        1 => Just(Outcome::Overloaded),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let leaving = subsequence((0..SERVERS).collect::<Vec<_>>(), 0..=2);
    prop_oneof![
        4 => (0..900_u64).prop_map(Step::Wait),
        1 => (3_000..20_000_u64).prop_map(Step::Wait),
        12 => (prop::option::of(0..4_u64), subsequence(vec![0, 1, 2], 0..=3))
            .prop_map(|(prefix, tried)| Step::Pick { prefix, tried }),
        4 => any::<usize>().prop_map(Step::FirstByte),
        10 => (any::<usize>(), outcome(), 0..200_u32).prop_map(|(at, o, t)| Step::Done(at, o, t)),
        2 => (some_servers(), leaving).prop_map(|(live, leaving)| Step::List { live, leaving }),
        1 => Just(Step::NoList),
        1 => some_servers().prop_map(Step::Configure),
        1 => (1..6_u32).prop_map(Step::Instances),
        1 => (0..SERVERS, 0..50_u32).prop_map(|(at, running)| Step::Report(at, running)),
    ]
}

/// The router together with a model of its rules.
struct Model {
    fleet: Fleet,
    share: Share,
    open: Vec<(AttemptKey, ServerKey)>,
    ended: Vec<AttemptKey>,
    loads: SecondaryMap<ServerKey, u32>,
    leaving: SecondaryMap<ServerKey, ()>,
    configured: Vec<ServerKey>,
}

impl Model {
    fn new() -> Model {
        let fleet = Fleet::new(SERVERS);
        Model {
            configured: fleet.keys.clone(),
            fleet,
            share: Share::default(),
            open: Vec::new(),
            ended: Vec::new(),
            loads: SecondaryMap::new(),
            leaving: SecondaryMap::new(),
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.fleet.wait(ms),
            Step::Pick { prefix, tried } => self.pick(prefix, &tried),
            Step::FirstByte(at) if !self.open.is_empty() => {
                let attempt = self.open[at % self.open.len()].0;
                assert!(self.fleet.router.first_byte(attempt, self.fleet.now));
            }
            Step::Done(at, outcome, tokens) if !self.open.is_empty() => {
                let at = at % self.open.len();
                self.done(at, outcome, tokens);
            }
            Step::List { live, leaving } => self.list(&live, &leaving),
            Step::NoList => self.fleet.router.list_unavailable(self.fleet.now),
            Step::Configure(servers) => self.configure(&servers),
            Step::Instances(instances) => {
                self.share = Share {
                    instances,
                    index: instances / 2,
                };
                self.fleet.router.set_share(self.share);
            }
            Step::Report(at, running) => {
                let report = LoadReport {
                    running,
                    ..LoadReport::default()
                };
                let key = self.fleet.keys[at];
                self.fleet.router.load_report(key, report, self.fleet.now);
            }
            Step::FirstByte(_) | Step::Done(..) => {}
        }
    }

    fn pick(&mut self, prefix: Option<u64>, tried: &[usize]) {
        let exclude: Vec<ServerKey> = tried.iter().map(|&at| self.fleet.keys[at]).collect();
        let demand = Demand {
            prefix,
            exclude: &exclude,
            ..self.fleet.demand()
        };
        let Ok(pick) = self.fleet.router.pick(&demand, self.fleet.now) else {
            return;
        };
        let key = pick.server;
        assert!(!exclude.contains(&key), "picked a server that was tried");
        assert!(!self.leaving.contains_key(key), "picked a leaving server");
        assert!(self.configured.contains(&key), "picked a removed server");
        let load = self.loads.entry(key).unwrap().or_insert(0);
        *load += 1;
        let at = self.fleet.keys.iter().position(|&k| k == key).unwrap();
        let share = self.share.of(SLOTS, self.fleet.spec(at).id);
        assert!(*load <= share, "over the share of its concurrency");
        self.open.push((pick.attempt, key));
    }

    fn done(&mut self, at: usize, outcome: Outcome, tokens: u32) {
        let (attempt, key) = self.open.swap_remove(at);
        let now = self.fleet.now;
        assert!(self.fleet.router.done(attempt, outcome, tokens, now));
        self.loads[key] -= 1;
        self.ended.push(attempt);
    }

    fn list(&mut self, live: &[usize], leaving: &[usize]) {
        let verdict = self.fleet.list(live, leaving);
        if verdict == ListVerdict::Accepted {
            self.leaving.clear();
        }
        for &at in leaving {
            self.leaving.insert(self.fleet.keys[at], ());
        }
    }

    fn configure(&mut self, servers: &[usize]) {
        let specs: Vec<ServerSpec> = servers.iter().map(|&at| self.fleet.spec(at)).collect();
        self.fleet.router.configure(&specs, self.fleet.now);
        self.configured = specs.iter().map(|spec| spec.key).collect();
    }

    fn check(&mut self) {
        let now = self.fleet.now;
        for &attempt in &self.ended {
            assert!(!self.fleet.router.first_byte(attempt, now), "late event");
            assert!(
                !self.fleet.router.done(attempt, Outcome::Cut, 9, now),
                "late event"
            );
        }
        let router = &mut self.fleet.router;
        let free = router.free(now);
        let standings: Vec<Standing> = router
            .servers()
            .map(|key| router.standing(key).unwrap())
            .collect();
        let slots = standings
            .iter()
            .map(|s| s.limit.saturating_sub(s.in_flight) as usize);
        assert!(free == 0 || free == slots.sum::<usize>());
        let gone =
            |s: &&Standing| matches!(s.state, State::Leaving | State::Vanished | State::Removed);
        let present = standings.iter().filter(|s| !gone(s)).count();
        let ejected = standings.iter().filter(|s| is_ejected(s.state)).count();
        let ceiling = (present as f64 * 0.3) as usize;
        assert!(
            ejected <= ceiling.max(usize::from(present >= 2)),
            "over the ceiling"
        );
        let loads = self.loads.iter().filter(|(_, load)| **load > 0);
        for (key, load) in loads {
            assert_eq!(router.standing(key).unwrap().in_flight, *load);
        }
    }
}

fn is_ejected(state: State) -> bool {
    matches!(state, State::Out { fault, .. } if fault != Fault::Refused)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    // Guards against requests to leaving or overfull servers and against mixed-up events. Any order
    // of picks, ends, lists, configurations and waits preserves each rule after each step.
    #[test]
    fn rules_hold_after_any_events(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in steps {
            model.run(step);
            model.check();
        }
    }

    #[test]
    fn shares_add_up(concurrency in 1..300_u32, instances in 1..40_u32, id: u64) {
        let total: u32 = (0..instances)
            .map(|index| Share { instances, index }.of(concurrency, id))
            .sum();
        prop_assert_eq!(total, concurrency.max(instances));
    }

    #[test]
    fn first_byte_timeout_stays_in_bounds(spans in prop::collection::vec(0..100_000_u64, 1..50)) {
        let mut fleet = Fleet::new(2);
        for span in spans {
            let pick = fleet.pick();
            fleet.router.first_byte(pick.attempt, fleet.now + Millis(span));
            fleet.end(pick.attempt, Outcome::Cancelled);
            let first_byte_timeout = fleet.router.first_byte_timeout(Some(fleet.model));
            prop_assert!((1000..=30_000).contains(&first_byte_timeout.0));
        }
    }
}
