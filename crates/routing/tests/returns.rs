//! Tests of how soon a returning server gets its full share, and how much it can lose until then.

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

/// Time to first token, in milliseconds.
const FIRST_TOKEN_MS: u64 = 50;

/// Duration of a whole answer, in milliseconds.
const ANSWER_MS: u64 = 2000;

/// A fleet with first-byte samples whose server 0 refused a connection and returns.
fn fleet_with_returning_server() -> Fleet {
    let mut fleet = Fleet::new(5);
    for at in (0..5).cycle().take(100) {
        let pick = fleet.pick_on(at);
        fleet.wait(FIRST_TOKEN_MS);
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
    let mut running = Vec::new();
    let mut started = Vec::new();
    loop {
        while let Ok(pick) = fleet.try_on(0) {
            started.push(pick.attempt);
        }
        if started.is_empty() {
            return running;
        }
        fleet.wait(first);
        for attempt in started.drain(..) {
            fleet.router.first_byte(attempt, fleet.now);
            running.push(attempt);
        }
    }
}

// Guards against idle slots on a returning server. Its answers begin in time, so it gets half of
// its share within two times to first token and the rest after one whole answer. By whole answers
// alone, half of the share took one answer and the full share two.
#[test]
fn returned_server_fills_as_answers_begin() {
    let mut fleet = fleet_with_returning_server();
    let since = fleet.now;
    let running = fill(&mut fleet, FIRST_TOKEN_MS);
    assert_eq!(running.len() as u32, SLOTS / 2);
    assert!(fleet.now.since(since) <= Millis(2 * FIRST_TOKEN_MS));
    fleet.wait(ANSWER_MS);
    fleet.end(running[0], Outcome::Complete);
    let added = fill(&mut fleet, FIRST_TOKEN_MS);
    assert_eq!((running.len() - 1 + added.len()) as u32, SLOTS);
    assert!(fleet.now.since(since) <= Millis(ANSWER_MS + 5 * FIRST_TOKEN_MS));
}

// Guards against lost answers on a server that begins every answer and cuts it. At most half of its
// slots are at risk before one answer was whole, and the first cut ejects it at once, for longer
// each time.
#[test]
fn server_that_cuts_what_it_begins_loses_half_at_most() {
    let mut fleet = fleet_with_returning_server();
    let mut previous = Millis::ZERO;
    for _ in 0..3 {
        let running = fill(&mut fleet, FIRST_TOKEN_MS);
        assert!(running.len() as u32 <= SLOTS / 2);
        for attempt in running {
            fleet.end(attempt, Outcome::Cut);
        }
        let State::Out { until, .. } = fleet.state(0) else {
            panic!("the server is in use");
        };
        let span = until.since(fleet.now);
        assert!(span > previous, "{span} after {previous}");
        previous = span;
        while fleet.state(0) != State::Recovering {
            fleet.wait(500);
        }
    }
}

// Guards against raising the limit of a returning straggler that is still slow. Its answers begin
// later than nearly all others, so it keeps one request at a time until one answer was whole.
#[test]
fn late_first_bytes_do_not_raise_the_limit() {
    let mut fleet = fleet_with_returning_server();
    assert_eq!(fill(&mut fleet, 10 * FIRST_TOKEN_MS).len(), 1);
}

// Guards against overloading a server that reported overload right after its return. Its halved
// limit grows only with whole answers, because answers that begin don't show how many it can
// handle.
#[test]
fn first_bytes_of_an_overloaded_server_do_not_raise_the_limit() {
    let mut fleet = fleet_with_returning_server();
    let running = fill(&mut fleet, FIRST_TOKEN_MS);
    fleet.end(running[0], Outcome::Complete);
    fleet.end(running[1], Outcome::Overloaded);
    assert_eq!(fill(&mut fleet, FIRST_TOKEN_MS).len(), 1);
}

// Guards against slow tokens each time a straggler returns. The first sample ejects it again,
// before its first answer is whole, and for longer.
#[test]
fn straggler_that_returns_slow_is_ejected_at_the_first_sample() {
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
        panic!("the server is in use");
    };
    assert!(until.since(fleet.now) > Millis(3000));
}

// Guards against ejecting a restarted server for its cold cache. Its first answer of one token
// takes five times as long as its peers' answers, which doesn't count as slow, unlike a first
// stream.
#[test]
fn cold_cache_after_a_return_keeps_it_in() {
    let mut fleet = Fleet::new(5);
    let warm = Reply {
        prompt: 100,
        prefill_ms: 20,
        tokens: 1,
        token_ms: 20,
        streamed: true,
    };
    for _ in 0..20 {
        (0..5).for_each(|at| fleet.reply(at, warm));
    }
    let pick = fleet.pick_on(0);
    fleet.end(pick.attempt, Outcome::Refused);
    fleet.wait(700);
    let cold = Reply {
        prefill_ms: 180,
        ..warm
    };
    fleet.reply(0, cold);
    assert_eq!(fleet.state(0), State::Recovering);
}
