//! Tests of retries of attempts that provably didn't run.

use crocushold_base::Millis;
use crocushold_routing::BudgetSettings;
use crocushold_routing::Decision;
use crocushold_routing::Ran;
use crocushold_routing::RequestFacts;
use crocushold_routing::RetryPolicy;
use crocushold_routing::RetrySettings;
use crocushold_routing::Stage;

const FACTS: RequestFacts = RequestFacts {
    idempotent: false,
    relayed: false,
    written: false,
    attempts: 1,
    deadline: Millis(10_000),
};

fn policy(charge_unsent: bool) -> RetryPolicy {
    let settings = RetrySettings {
        budget: BudgetSettings {
            ratio: 0.0,
            floor: 0.0,
            burst: 1.0,
        },
        charge_unsent,
        ..RetrySettings::default()
    };
    RetryPolicy::new(settings, Millis::ZERO)
}

/// Guards against refusals after a server crash. Each of its requests finds the port closed and no
/// byte reached a server, so sending them to its peers adds no load, and an empty budget must not
/// refuse them.
#[test]
fn unsent_attempts_are_free_if_configured() {
    let mut policy = policy(false);
    for _ in 0..10 {
        let decision = policy.after_failure(&FACTS, Stage::NotConnected, Millis(1));
        assert_eq!(decision, Decision::Retry);
    }
}

/// A full server rejected the request. It didn't run but reached the server, so the budget is
/// charged.
#[test]
fn rejections_are_charged_and_known_not_to_have_run() {
    let mut policy = policy(false);
    let first = policy.after_failure(&FACTS, Stage::Rejected, Millis(1));
    assert_eq!(first, Decision::Retry);
    let second = policy.after_failure(&FACTS, Stage::Rejected, Millis(1));
    let Decision::GiveUp { ran, retry_after } = second else {
        panic!("the budget is spent: {second:?}");
    };
    assert_eq!(ran, Ran::No);
    assert!(retry_after.is_some());
}

#[test]
fn by_default_all_repeats_are_charged() {
    let mut policy = policy(true);
    policy.after_failure(&FACTS, Stage::NotConnected, Millis(1));
    let second = policy.after_failure(&FACTS, Stage::NotConnected, Millis(1));
    assert!(matches!(second, Decision::GiveUp { ran: Ran::No, .. }));
}
