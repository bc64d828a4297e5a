//! Which servers are seen to be slow, how soon, and which are not.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests, where the lint looks for test functions only"
)]

mod common;

use common::Fleet;
use common::SLOTS;
use crocushold_routing::Fault;
use crocushold_routing::HealthSettings;
use crocushold_routing::Outcome;
use crocushold_routing::Settings;
use crocushold_routing::State;

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
    let slowness = fleet.router.why(fleet.keys[0]).unwrap().slowness;
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
