//! How soon a server that came back takes its full share, and what it can't lose on the way.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests, where the lint looks for test functions only"
)]

mod common;

use common::Fleet;
use common::Reply;
use common::SLOTS;
use crocushold_base::Millis;
use crocushold_routing::AttemptKey;
use crocushold_routing::Outcome;
use crocushold_routing::State;

/// Milliseconds to a first token.
const FIRST: u64 = 50;

/// Milliseconds that a whole answer takes.
const WHOLE: u64 = 2000;

/// A fleet that has seen first bytes, whose server 0 refused a connection and comes back.
fn back() -> Fleet {
    let mut fleet = Fleet::new(5);
    for at in (0..5).cycle().take(100) {
        let pick = fleet.pick_on(at);
        fleet.wait(FIRST);
        fleet.router.first_byte(pick.attempt, fleet.now);
        fleet.end(pick.attempt, Outcome::Cancelled);
    }
    let pick = fleet.pick_on(0);
    fleet.end(pick.attempt, Outcome::Refused);
    fleet.wait(700);
    assert_eq!(fleet.state(0), State::Recovering);
    fleet
}

/// Fills the server's slots with answers that begin after `first`.
fn fill(fleet: &mut Fleet, first: u64) -> Vec<AttemptKey> {
    let mut held = Vec::new();
    let mut fresh = Vec::new();
    loop {
        while let Ok(pick) = fleet.try_on(0) {
            fresh.push(pick.attempt);
        }
        if fresh.is_empty() {
            return held;
        }
        fleet.wait(first);
        for attempt in fresh.drain(..) {
            fleet.router.first_byte(attempt, fleet.now);
            held.push(attempt);
        }
    }
}

// Callers wait for slots while a server that came back stands half idle. Its answers begin in good
// time, so it gets half of its share within two of these times, and the rest when one is whole; by
// whole answers alone the half took as long as an answer, and the whole twice that.
#[test]
fn returned_server_fills_as_answers_begin() {
    let mut fleet = back();
    let since = fleet.now;
    let held = fill(&mut fleet, FIRST);
    assert_eq!(held.len() as u32, SLOTS / 2);
    assert!(fleet.now.since(since) <= Millis(2 * FIRST));
    fleet.wait(WHOLE);
    fleet.end(held[0], Outcome::Complete);
    let more = fill(&mut fleet, FIRST);
    assert_eq!((held.len() - 1 + more.len()) as u32, SLOTS);
    assert!(fleet.now.since(since) <= Millis(WHOLE + 5 * FIRST));
}

// Callers of a server that begins every answer and cuts it would each lose theirs. No more than half
// of its slots are at stake before one answer was whole; the first cut takes it out at once, for
// longer each time.
#[test]
fn server_that_cuts_what_it_begins_loses_half_at_most() {
    let mut fleet = back();
    let mut last = Millis::ZERO;
    for _ in 0..3 {
        let held = fill(&mut fleet, FIRST);
        assert!(held.len() as u32 <= SLOTS / 2);
        for attempt in held {
            fleet.end(attempt, Outcome::Cut);
        }
        let State::Out { until, .. } = fleet.state(0) else {
            panic!("it is in");
        };
        let span = until.since(fleet.now);
        assert!(span > last, "{span} after {last}");
        last = span;
        while fleet.state(0) != State::Recovering {
            fleet.wait(500);
        }
    }
}

// Callers would get slow answers. A straggler comes back and is still slow: its answers begin later
// than nearly all others, so it keeps one request at a time until one was whole.
#[test]
fn late_beginnings_earn_nothing() {
    let mut fleet = back();
    assert_eq!(fill(&mut fleet, 10 * FIRST).len(), 1);
}

// Callers are refused by a server that said that it has too many requests, just after it came back.
// Its limit was halved and grows with whole answers alone: that it begins some says nothing of how
// many it can take.
#[test]
fn overloaded_server_earns_nothing_by_beginning() {
    let mut fleet = back();
    let held = fill(&mut fleet, FIRST);
    fleet.end(held[0], Outcome::Complete);
    fleet.end(held[1], Outcome::Overloaded);
    assert_eq!(fill(&mut fleet, FIRST).len(), 1);
}

// Callers would get slow tokens each time that a straggler returns. It comes back as slow as it was:
// the first sample takes it out again, before its first answer is whole, and for longer.
#[test]
fn straggler_that_returns_slow_is_out_at_the_first_sample() {
    let mut fleet = Fleet::new(5);
    for _ in 0..6 {
        (0..5).for_each(|at| fleet.answer(at, 20));
    }
    while !matches!(fleet.state(0), State::Out { .. }) {
        fleet.answer(0, 200);
    }
    while fleet.state(0) != State::Recovering {
        fleet.wait(500);
    }
    let pick = fleet.pick_on(0);
    fleet.router.first_byte(pick.attempt, fleet.now);
    (0..16).for_each(|_| fleet.wait(200));
    fleet.router.progress(pick.attempt, 16, fleet.now);
    let State::Out { until, .. } = fleet.state(0) else {
        panic!("it is in");
    };
    assert!(until.since(fleet.now) > Millis(3000));
}

// Callers would lose a server that was just restarted, for longer each time. It comes back with an
// empty cache, so its first answer of one token takes five times as long as its peers'; that doesn't
// count as slow, as a first stream would.
#[test]
fn cold_cache_after_a_return_keeps_it_in() {
    let mut fleet = Fleet::new(5);
    let warm = Reply {
        prompt: 100,
        prefill: 20,
        tokens: 1,
        pace: 20,
        streamed: true,
    };
    for _ in 0..20 {
        (0..5).for_each(|at| fleet.reply(at, warm));
    }
    let pick = fleet.pick_on(0);
    fleet.end(pick.attempt, Outcome::Refused);
    fleet.wait(700);
    let cold = Reply {
        prefill: 180,
        ..warm
    };
    fleet.reply(0, cold);
    assert_eq!(fleet.state(0), State::Recovering);
}
