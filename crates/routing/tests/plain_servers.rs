//! Tests of plain servers whose machines are shared with others for parts of a second.
//!
//! The model: three servers run six calls of 30 ms on average at once and queue the others. In one of eight
//! spans of 600 ms work takes 2.5 times as long on one of them. Each answer reports the load.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests, where the lint looks for test functions only"
)]

#[path = "common/shared_machines.rs"]
mod shared_machines;

use std::collections::VecDeque;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::AttemptKey;
use crocushold_routing::Demand;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::Router;
use crocushold_routing::Settings;
use crocushold_routing::State;
use test_case::test_case;

const SERVERS: usize = 3;
const SLOTS: usize = 6;
const OVERCOMMIT: u32 = 2;
const WORK: f64 = 30.0;

/// Time in which an answer is wanted.
const TARGET: u64 = 150;

struct Call {
    attempt: AttemptKey,
    sent: u64,
    work_left: f64,
}

struct Model {
    router: Router,
    keys: Vec<ServerKey>,
    calls: Vec<VecDeque<Call>>,
    now: u64,
    /// Whether the servers report their pace.
    reports: bool,
    /// Whether all are slow at the same time.
    slow_together: bool,
    /// A server that is four times as slow.
    slow: Option<usize>,
    /// Whether all calls are the same work.
    same_work: bool,
    times: Vec<u64>,
    number: u64,
}

impl Model {
    fn new(reports: bool) -> Model {
        let settings = Settings {
            overcommit: OVERCOMMIT,
            ..Settings::default()
        };
        let (router, keys) =
            shared_machines::router(settings, SERVERS, SLOTS as u32 * OVERCOMMIT, &[]);
        Model {
            router,
            keys,
            calls: (0..SERVERS).map(|_| VecDeque::new()).collect(),
            now: shared_machines::START,
            reports,
            slow_together: false,
            slow: None,
            same_work: false,
            times: Vec::new(),
            number: 0,
        }
    }

    fn percent(&self, at: usize) -> u16 {
        if self.slow == Some(at) {
            return 400;
        }
        let machine = if self.slow_together { 0 } else { at };
        let is_shared = shared_machines::is_shared(machine, self.now);
        if is_shared { 250 } else { 100 }
    }

    /// The work of the next call: exponentially distributed, by a fixed sequence.
    fn work(&mut self) -> f64 {
        self.number += 1;
        if self.same_work {
            return WORK;
        }
        let draw = self.number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11;
        let uniform = (draw as f64 + 1.0) / (1_u64 << 53) as f64;
        -uniform.ln() * WORK
    }

    fn run(&mut self, rate: u64, seconds: u64) {
        let end = self.now + seconds * 1000;
        while self.now < end {
            let due = (self.now + 1) * rate / 1000 - self.now * rate / 1000;
            for _ in 0..due {
                self.arrive();
            }
            for at in 0..SERVERS {
                self.step(at);
            }
            self.now += 1;
            self.router.tick(Millis(self.now));
        }
    }

    fn arrive(&mut self) {
        let demand = Demand {
            priority: 1,
            idempotent: true,
            central: true,
            ..Demand::default()
        };
        let Ok(pick) = self.router.pick(&demand, Millis(self.now)) else {
            self.times.push(u64::MAX);
            return;
        };
        let at = self.keys.iter().position(|&key| key == pick.server);
        let call = Call {
            attempt: pick.attempt,
            sent: self.now,
            work_left: self.work(),
        };
        self.calls[at.unwrap()].push_back(call);
    }

    fn step(&mut self, at: usize) {
        let percent = self.percent(at);
        let done = 100.0 / f64::from(percent);
        let running = self.calls[at].iter_mut().take(SLOTS);
        running.for_each(|call| call.work_left -= done);
        let now = Millis(self.now);
        let is_done = |call: &Call| call.work_left <= 0.0;
        while let Some(first) = self.calls[at].iter().position(is_done) {
            let call = self.calls[at].remove(first).unwrap();
            let calls = self.calls[at].len();
            let load = LoadReport {
                running: calls.min(SLOTS) as u32,
                waiting: calls.saturating_sub(SLOTS) as u32,
                work_percent: self.reports.then_some(percent),
                ..LoadReport::default()
            };
            self.router.load_report(self.keys[at], load, now);
            self.router.first_byte(call.attempt, now);
            self.router.done(call.attempt, Outcome::Complete, 0, now);
            self.times.push(self.now - call.sent);
        }
    }

    fn late(&self) -> usize {
        self.times.iter().filter(|&&time| time > TARGET).count()
    }

    fn mean(&self) -> f64 {
        self.times.iter().sum::<u64>() as f64 / self.times.len() as f64
    }
}

/// The servers run 600 calls a second at best, and 400 arrive. A call that is sent to a server that
/// is slow at that moment waits there behind others. With the reported pace a quarter fewer calls are
/// late.
#[test]
fn calls_avoid_a_server_that_is_slow_at_this_moment() {
    let play = |reports| {
        let mut model = Model::new(reports);
        model.run(400, 60);
        (model.late(), model.mean())
    };
    let (before, after) = (play(false), play(true));
    println!("late calls and mean time without reports {before:?}, with them {after:?}");
    assert!(after.0 * 4 <= before.0 * 3, "{before:?} {after:?}");
    assert!(after.1 < before.1, "{before:?} {after:?}");
}

/// With free slots everywhere a call goes where its work takes less time, however many others run
/// there.
#[test]
fn calls_go_to_fast_servers_while_those_have_free_slots() {
    let play = |reports| {
        let mut model = Model::new(reports);
        model.run(150, 60);
        model.mean()
    };
    let (before, after) = (play(false), play(true));
    println!("mean time without reports {before}, with them {after}");
    assert!(after < before, "{before} {after}");
}

/// All machines are slow at the same time, and more calls arrive than the servers run then. Nobody is
/// ejected.
#[test]
fn servers_that_are_slow_together_are_kept() {
    let mut model = Model::new(true);
    model.slow_together = true;
    for _ in 0..60 {
        model.run(300, 1);
        for &key in &model.keys {
            let state = model.router.standing(key).unwrap().state;
            assert_eq!(state, State::Serving);
        }
    }
}

/// A machine is shared for many seconds, so that all work takes four times as long on one server. It
/// says so, and isn't ejected. One that doesn't say so is.
#[test_case(true; "reported")]
#[test_case(false; "not reported")]
fn a_server_that_says_it_is_slow_is_no_straggler(reports: bool) {
    let mut model = Model::new(reports);
    model.same_work = true;
    model.run(150, 5);
    model.slow = Some(0);
    let mut ejected = false;
    for _ in 0..100 {
        model.run(150, 1);
        let state = model.router.standing(model.keys[0]).unwrap().state;
        ejected |= state != State::Serving;
    }
    assert_eq!(ejected, !reports);
}
