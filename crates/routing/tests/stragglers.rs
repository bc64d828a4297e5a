//! Which servers are seen to be slow, how soon, and which are not.

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

/// Slow samples that eject, as the daemon has it.
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

fn straggles(fleet: &Fleet, at: usize) -> bool {
    let state = fleet.state(at);
    matches!(state, State::Out { fault, .. } if fault == Fault::Straggling)
}

// The caller sees tokens come four times slower than promised. One server slows down after a long
// time of keeping pace; three samples take it out. A running mean has to climb from the good time
// first and took eleven, in which every caller sent there missed the target.
#[test]
fn fourfold_straggler_is_out_after_three_samples() {
    let mut fleet = fleet();
    for _ in 0..20 {
        (0..SERVERS).for_each(|at| fleet.answer(at, 20));
    }
    for number in 1..=SAMPLES {
        (1..SERVERS).for_each(|at| fleet.answer(at, 20));
        fleet.answer(0, 80);
        assert_eq!(straggles(&fleet, 0), number == SAMPLES);
    }
}

// Callers of all streams of one server see one gap. The server pauses once, and a sample of every
// stream on it is slow; they end within moments of each other and are one event. Counted apart, a
// pause that is over would cost the server's slots for seconds.
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

// The caller of a server that wavers sees nothing. It is twice as slow now and then, but in time
// again between: no straggler, however often that happens.
#[test]
fn a_wavering_server_stays() {
    let mut fleet = fleet();
    for round in 0..100 {
        let pace = if round % 2 == 0 { 60 } else { 20 };
        fleet.answer(0, pace);
        (1..SERVERS).for_each(|at| fleet.answer(at, 20));
        assert_eq!(fleet.state(0), State::Serving);
    }
}

/// Streams of eight tokens.
const SHORT: Reply = Reply {
    prompt: 100,
    prefill: 20,
    tokens: 8,
    pace: 20,
    streamed: true,
};

/// Whole answers.
const WHOLE: Reply = Reply {
    tokens: 40,
    streamed: false,
    ..SHORT
};

/// Answers of one token, as a classification gives.
const ONE: Reply = Reply { tokens: 1, ..SHORT };

fn slower(reply: Reply, factor: u64) -> Reply {
    Reply {
        prefill: reply.prefill * factor,
        pace: reply.pace * factor,
        ..reply
    }
}

fn round(fleet: &mut Fleet, first: Reply, others: Reply) {
    (1..SERVERS).for_each(|at| fleet.reply(at, others));
    fleet.reply(0, first);
}

// The caller sees an answer come four times too late, again and again. All answers of the service
// are short, or not streamed, or of one token, so no stream is long enough to tell a pace: the short
// ones are added up, the others compared as a whole with their peers' of the same size.
#[test_case(SHORT, 12; "short streams")]
#[test_case(WHOLE, 4; "whole answers")]
#[test_case(ONE, 4; "one token")]
fn straggler_with_short_answers_is_seen(reply: Reply, most: usize) {
    let mut fleet = fleet();
    (0..10).for_each(|_| round(&mut fleet, reply, reply));
    let slow = slower(reply, 4);
    let rounds = (1..=most).find(|_| {
        round(&mut fleet, slow, reply);
        straggles(&fleet, 0)
    });
    assert!(rounds.is_some());
}

// Callers with long prompts would lose the server that their prefix leads them to. It takes ten
// times as long for each answer as its peers, since it alone gets prompts thirty times as long.
#[test_case(WHOLE; "whole answers")]
#[test_case(ONE; "one token")]
fn long_prompts_make_no_straggler(reply: Reply) {
    let mut fleet = fleet();
    (0..10).for_each(|_| round(&mut fleet, reply, reply));
    let long = Reply {
        prompt: 3000,
        prefill: 1000,
        ..reply
    };
    for _ in 0..60 {
        round(&mut fleet, long, reply);
        assert_eq!(fleet.state(0), State::Serving);
    }
}

// Callers would lose a server that was just started. Two of three prompts are found in the peers'
// caches, and none in its own, so its first tokens come five times later than most of theirs.
#[test]
fn cold_cache_makes_no_straggler() {
    let mut fleet = fleet();
    let cold = Reply {
        prefill: 200,
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

// Callers wait for every server. All of them slow down tenfold at once, so none is a straggler.
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

// Callers wait in the queue of one server, which other instances fill; its report says so. It works
// as fast as its peers, so it stays: ejecting it would push its queue onto them.
#[test]
fn a_queue_in_the_server_makes_no_straggler() {
    let mut fleet = fleet();
    (0..10).for_each(|_| round(&mut fleet, ONE, ONE));
    for _ in 0..10 {
        let report = LoadReport {
            running: SLOTS,
            waiting: 20,
            age: Millis(100),
        };
        (1..SERVERS).for_each(|at| fleet.reply(at, ONE));
        fleet.router.load_report(fleet.keys[0], report, fleet.now);
        let queued = Reply {
            prefill: 1500,
            ..ONE
        };
        fleet.reply(0, queued);
        assert_eq!(fleet.state(0), State::Serving);
    }
}

// The first callers of a service see answers of all lengths. Too few of one size were seen to call
// any slow, so nobody goes out.
#[test]
fn few_samples_eject_nobody() {
    let mut fleet = fleet();
    (1..SERVERS).for_each(|at| fleet.reply(at, WHOLE));
    for _ in 0..SAMPLES {
        fleet.reply(0, slower(WHOLE, 10));
    }
    assert_eq!(fleet.state(0), State::Serving);
}
