//! How fast engines read, as learned from answers.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests, where the lint looks for test functions only"
)]

mod common;

use common::Fleet;
use crocushold_base::Millis;
use crocushold_routing::Demand;
use crocushold_routing::Outcome;
use test_case::test_case;

/// Tokens of a prompt.
const PROMPT: u32 = 4000;

/// What an idle engine takes to the first token beside the reading, in milliseconds.
const BASE: u64 = 20;

fn answers(fleet: &mut Fleet, speed: u64, count: usize) {
    for _ in 0..count {
        let demand = Demand {
            unique_tokens: PROMPT,
            ..fleet.demand()
        };
        let pick = fleet.router.pick(&demand, fleet.now).unwrap();
        fleet.wait(BASE + u64::from(PROMPT) / speed);
        fleet.router.first_byte(pick.attempt, fleet.now);
        fleet.end(pick.attempt, Outcome::Complete);
        fleet.now += Millis(100);
    }
}

// Callers are refused for queues that aren't there, or sent where their prompt isn't kept: an instance that has
// just started takes engines for slower or faster than they are. Ten answers tell enough.
#[test_case(12)]
#[test_case(50)]
#[test_case(64)]
#[test_case(120)]
fn ten_answers_tell_the_speed(speed: u64) {
    let mut fleet = Fleet::new(4);
    answers(&mut fleet, speed, 10);
    let learned = fleet.router.prefill_rate() / speed as f64;
    assert!((0.6..=1.6).contains(&learned), "{learned} of {speed}");
}

// One odd answer among many doesn't move what was learned by more than a tenth.
#[test]
fn a_single_odd_answer_changes_little() {
    let mut fleet = Fleet::new(4);
    answers(&mut fleet, 50, 60);
    let before = fleet.router.prefill_rate();
    answers(&mut fleet, 4, 1);
    let after = fleet.router.prefill_rate();
    assert!((0.9..=1.1).contains(&(after / before)), "{before} {after}");
}
