//! Tests of which servers are detected as stragglers, and how soon.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests, where the lint looks for test functions only"
)]

mod common;

use common::Fleet;
use common::Reply;
use common::SLOTS;
use crocushold_base::Millis;
use crocushold_routing::Fault;
use crocushold_routing::HealthSettings;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::Settings;
use crocushold_routing::State;
use test_case::test_case;

const SERVERS: usize = 12;

/// Slow samples that eject a server, as configured in production.
const SAMPLES: u32 = 3;

fn fleet() -> Fleet {
    let health = HealthSettings {
        slow_samples: SAMPLES,
        ..HealthSettings::default()
    };
    Fleet::with(
        SERVERS,
        Settings {
            health,
            ..Settings::default()
        },
    )
}

fn is_straggler(fleet: &Fleet, at: usize) -> bool {
    let state = fleet.state(at);
    matches!(state, State::Out { fault, .. } if fault == Fault::Straggling)
}

// Guards against detecting a straggler too late. A server becomes four times slower after a long
// time at normal speed; three samples eject it. A running mean, which has to climb from the good
// time, took eleven, and every caller sent there in the meantime missed the target.
#[test]
fn fourfold_straggler_is_ejected_after_three_samples() {
    let mut fleet = fleet();
    for _ in 0..20 {
        (0..SERVERS).for_each(|at| fleet.answer(at, 20));
    }
    for number in 1..=SAMPLES {
        (1..SERVERS).for_each(|at| fleet.answer(at, 20));
        fleet.answer(0, 80);
        assert_eq!(is_straggler(&fleet, 0), number == SAMPLES);
    }
}

// Guards against ejecting a server for one pause. The pause makes a sample of every stream on it
// slow; they end within moments of each other and count as one event. Counted separately, they
// would cost the server's slots for seconds after the pause.
#[test]
fn a_pause_of_all_streams_is_one_event() {
    let mut fleet = fleet();
    for _ in 0..20 {
        (0..SERVERS).for_each(|at| fleet.answer(at, 20));
    }
    let picks: Vec<_> = (0..SLOTS).map(|_| fleet.pick_on(0)).collect();
    for pick in &picks {
        fleet.router.first_byte(pick.attempt, fleet.now);
    }
    fleet.wait(1600);
    for pick in &picks {
        fleet.wait(20);
        let now = fleet.now;
        fleet.router.done(pick.attempt, Outcome::Complete, 16, now);
    }
    assert_eq!(fleet.state(0), State::Serving);
    fleet.answer(0, 20);
    let slowness = fleet.router.standing(fleet.keys[0]).unwrap().slowness;
    assert!(slowness < 4.0, "{slowness}");
}

// A server that is three times slower in every other answer, and at normal speed in between, is no
// straggler however often that happens.
#[test]
fn a_fluctuating_server_stays() {
    let mut fleet = fleet();
    for round in 0..100 {
        let token_ms = if round % 2 == 0 { 60 } else { 20 };
        fleet.answer(0, token_ms);
        (1..SERVERS).for_each(|at| fleet.answer(at, 20));
        assert_eq!(fleet.state(0), State::Serving);
    }
}

/// Streams of eight tokens.
const SHORT: Reply = Reply {
    prompt: 100,
    prefill_ms: 20,
    tokens: 8,
    token_ms: 20,
    streamed: true,
};

/// Whole answers.
const WHOLE: Reply = Reply {
    tokens: 40,
    streamed: false,
    ..SHORT
};

/// Answers of one token, as from a classification.
const ONE: Reply = Reply { tokens: 1, ..SHORT };

fn slower(reply: Reply, factor: u64) -> Reply {
    Reply {
        prefill_ms: reply.prefill_ms * factor,
        token_ms: reply.token_ms * factor,
        ..reply
    }
}

fn round(fleet: &mut Fleet, first: Reply, others: Reply) {
    (1..SERVERS).for_each(|at| fleet.reply(at, others));
    fleet.reply(0, first);
}

// Guards against a straggler, four times slower, that is never detected because its answers are
// short, not streamed or a single token, so that no stream gives a time per token. Short streams
// are accumulated, and the others are compared as a whole with their peers' answers of the same
// size.
#[test_case(SHORT, 12; "short streams")]
#[test_case(WHOLE, 4; "whole answers")]
#[test_case(ONE, 4; "one token")]
fn straggler_with_short_answers_is_detected(reply: Reply, most: usize) {
    let mut fleet = fleet();
    (0..10).for_each(|_| round(&mut fleet, reply, reply));
    let slow = slower(reply, 4);
    let rounds = (1..=most).find(|_| {
        round(&mut fleet, slow, reply);
        is_straggler(&fleet, 0)
    });
    assert!(rounds.is_some());
}

// Guards against ejecting the server of a prefix with long prompts. It takes ten times as long per
// answer as its peers because its prompts are thirty times as long.
#[test_case(WHOLE; "whole answers")]
#[test_case(ONE; "one token")]
fn long_prompts_make_no_straggler(reply: Reply) {
    let mut fleet = fleet();
    (0..10).for_each(|_| round(&mut fleet, reply, reply));
    let long = Reply {
        prompt: 3000,
        prefill_ms: 1000,
        ..reply
    };
    for _ in 0..60 {
        round(&mut fleet, long, reply);
        assert_eq!(fleet.state(0), State::Serving);
    }
}

// Guards against ejecting a server that has just started. Two of three prompts are found in the
// peers' caches and none in its own, so its first tokens arrive five times later than most of
// theirs.
#[test]
fn cold_cache_makes_no_straggler() {
    let mut fleet = fleet();
    let cold = Reply {
        prefill_ms: 200,
        ..ONE
    };
    for turn in 0..60 {
        let mixed = |at: usize| {
            if (at + turn).is_multiple_of(3) {
                cold
            } else {
                ONE
            }
        };
        (0..SERVERS).for_each(|at| fleet.reply(at, mixed(at)));
    }
    for turn in 0..60 {
        fleet.reply(0, cold);
        let mixed = |at: usize| {
            if (at + turn).is_multiple_of(3) {
                cold
            } else {
                ONE
            }
        };
        (1..SERVERS).for_each(|at| fleet.reply(at, mixed(at)));
        assert_eq!(fleet.state(0), State::Serving);
    }
}

// Guards against ejections when all servers become ten times slower at once, so that none is a
// straggler.
#[test_case(SHORT; "short streams")]
#[test_case(WHOLE; "whole answers")]
#[test_case(ONE; "one token")]
fn all_short_answers_slow_ejects_nobody(reply: Reply) {
    let mut fleet = fleet();
    (0..10).for_each(|_| round(&mut fleet, reply, reply));
    let slow = slower(reply, 10);
    for _ in 0..30 {
        round(&mut fleet, slow, slow);
        assert!((0..SERVERS).all(|at| fleet.state(at) == State::Serving));
    }
}

// Guards against ejecting a server because of a queue that other instances fill, as its load report
// shows. It is as fast as its peers, and ejecting it would move its queue to them.
#[test]
fn a_queue_in_the_server_makes_no_straggler() {
    let mut fleet = fleet();
    (0..10).for_each(|_| round(&mut fleet, ONE, ONE));
    for _ in 0..10 {
        let report = LoadReport {
            running: SLOTS,
            waiting: 20,
            age: Millis(100),
            ..LoadReport::default()
        };
        (1..SERVERS).for_each(|at| fleet.reply(at, ONE));
        fleet.router.load_report(fleet.keys[0], report, fleet.now);
        let queued = Reply {
            prefill_ms: 1500,
            ..ONE
        };
        fleet.reply(0, queued);
        assert_eq!(fleet.state(0), State::Serving);
    }
}

// Guards against ejections from too few samples. Answers of many lengths were seen, but too few of
// one size to call any server slow.
#[test]
fn few_samples_eject_nobody() {
    let mut fleet = fleet();
    (1..SERVERS).for_each(|at| fleet.reply(at, WHOLE));
    for _ in 0..SAMPLES {
        fleet.reply(0, slower(WHOLE, 10));
    }
    assert_eq!(fleet.state(0), State::Serving);
}
