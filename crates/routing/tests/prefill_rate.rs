//! Tests of the prefill rate learned from answers.

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
const PROMPT_TOKENS: u32 = 4000;

/// Time to first token of an idle engine excluding prefill, in milliseconds.
const BASE_LATENCY_MS: u64 = 20;

fn answers(fleet: &mut Fleet, rate: u64, count: usize) {
    for _ in 0..count {
        let demand = Demand {
            unique_tokens: PROMPT_TOKENS,
            ..fleet.demand()
        };
        let pick = fleet.router.pick(&demand, fleet.now).unwrap();
        fleet.wait(BASE_LATENCY_MS + u64::from(PROMPT_TOKENS) / rate);
        fleet.router.first_byte(pick.attempt, fleet.now);
        fleet.end(pick.attempt, Outcome::Complete);
        fleet.now += Millis(100);
    }
}

// Guards against wrong queue estimates of an instance that has just started, which refuse callers
// needlessly or send prompts away from where they are cached. Ten answers suffice to learn the
// rate.
#[test_case(12)]
#[test_case(50)]
#[test_case(64)]
#[test_case(120)]
fn ten_answers_suffice_for_the_rate(rate: u64) {
    let mut fleet = Fleet::new(4);
    answers(&mut fleet, rate, 10);
    let learned = fleet.router.prefill_rate() / rate as f64;
    assert!((0.6..=1.6).contains(&learned), "{learned} of {rate}");
}

// A single outlier among many answers changes the estimate by at most a tenth.
#[test]
fn a_single_outlier_changes_little() {
    let mut fleet = Fleet::new(4);
    answers(&mut fleet, 50, 60);
    let before = fleet.router.prefill_rate();
    answers(&mut fleet, 4, 1);
    let after = fleet.router.prefill_rate();
    assert!((0.9..=1.1).contains(&(after / before)), "{before} {after}");
}
