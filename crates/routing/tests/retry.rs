//! Tests of what may be retried and what a caller is told.

use crocushold_base::Millis;
use crocushold_routing::Attempt;
use crocushold_routing::Decision;
use crocushold_routing::Permit;
use crocushold_routing::Ran;
use crocushold_routing::RequestFacts;
use crocushold_routing::RetryPolicy;
use crocushold_routing::RetrySettings;
use crocushold_routing::Stage;
use proptest::prelude::*;
use test_case::test_case;

const NOW: Millis = Millis(1000);

fn facts(idempotent: bool) -> RequestFacts {
    RequestFacts {
        idempotent,
        relayed: false,
        written: false,
        attempts: 1,
        deadline: Millis(10_000),
    }
}

fn policy() -> RetryPolicy {
    RetryPolicy::new(RetrySettings::default(), NOW)
}

fn ran(decision: Decision) -> Option<Ran> {
    match decision {
        Decision::Retry => None,
        Decision::GiveUp { ran, .. } => Some(ran),
    }
}

// Guards against a booking that is confirmed twice, or reported as not run although it was. Unless
// it is idempotent, only a request of which no byte was sent may be retried; the head of an answer,
// even of a refusal, proves nothing.
#[test_case(false, Stage::NotConnected => None)]
#[test_case(false, Stage::Connected => None)]
#[test_case(false, Stage::Written => Some(Ran::Unknown))]
#[test_case(false, Stage::Answered => Some(Ran::Unknown))]
#[test_case(false, Stage::Relayed => Some(Ran::Unknown))]
#[test_case(true, Stage::NotConnected => None)]
#[test_case(true, Stage::Written => None)]
#[test_case(true, Stage::Answered => None)]
#[test_case(true, Stage::Relayed => Some(Ran::Unknown))]
fn repeats_by_stage(idempotent: bool, stage: Stage) -> Option<Ran> {
    ran(policy().after_failure(&facts(idempotent), stage, NOW))
}

// Guards against the answer "not run" after a second attempt that failed to connect, although the
// first one had been written.
#[test]
fn earlier_write_is_not_forgotten() {
    let earlier = RequestFacts {
        written: true,
        attempts: 3,
        ..facts(true)
    };
    let decision = policy().after_failure(&earlier, Stage::NotConnected, NOW);
    assert_eq!(ran(decision), Some(Ran::Unknown));
}

#[test_case(3, Millis(10_000) ; "attempts spent")]
#[test_case(1, NOW ; "deadline passed")]
fn limits_give_up_with_a_retry_time(attempts: u32, deadline: Millis) {
    let facts = RequestFacts {
        attempts,
        deadline,
        ..facts(false)
    };
    let expected = Decision::GiveUp {
        ran: Ran::No,
        retry_after: Some(Millis(1000)),
    };
    let decision = policy().after_failure(&facts, Stage::NotConnected, NOW);
    assert_eq!(decision, expected);
}

// Guards against overload that retries multiply and prolong. Of a thousand failing requests about a
// tenth are retried, plus the burst.
#[test]
fn budget_bounds_repeats_when_all_fails() {
    let mut policy = policy();
    let mut retries = 0;
    for _ in 0..1000 {
        policy.first_attempt(NOW);
        let decision = policy.after_failure(&facts(true), Stage::Answered, NOW);
        retries += u32::from(decision == Decision::Retry);
    }
    assert!((95..=111).contains(&retries), "{retries}");
}

#[test_case(None, true => false ; "off by default")]
#[test_case(Some(200), true => true ; "on")]
#[test_case(Some(200), false => false ; "non idempotent")]
#[test_case(Some(900), true => false ; "too early")]
fn hedges(after: Option<u64>, idempotent: bool) -> bool {
    let settings = RetrySettings {
        hedge_after: after.map(Millis),
        ..RetrySettings::default()
    };
    RetryPolicy::new(settings, NOW).hedge(&facts(idempotent), Millis(300), NOW)
}

/// The stage that each attempt of a request reaches before it fails.
fn stages() -> impl Strategy<Value = Vec<Stage>> {
    let stage = prop_oneof![
        Just(Stage::NotConnected),
        Just(Stage::Connected),
        Just(Stage::Written),
        Just(Stage::Answered),
        Just(Stage::Relayed),
    ];
    prop::collection::vec(stage, 1..8)
}

proptest! {
    // Whatever fails in whatever order: a non-idempotent request is sent at most once, only a
    // request that was never sent is reported as not run, and nothing follows a relayed byte.
    #[test]
    fn at_most_once_and_no_false_not_run(stages in stages(), idempotent: bool) {
        let mut policy = policy();
        let mut facts = facts(idempotent);
        let mut writes = 0;
        for stage in stages {
            prop_assert!(!facts.relayed, "an attempt after a relayed byte");
            writes += u32::from(stage >= Stage::Written);
            facts.relayed |= stage == Stage::Relayed;
            let decision = policy.after_failure(&facts, stage, NOW);
            facts.written |= stage >= Stage::Written;
            facts.attempts += 1;
            if let Decision::GiveUp { ran, retry_after } = decision {
                prop_assert!(ran == Ran::Unknown || writes == 0);
                prop_assert_eq!(retry_after.is_some(), ran == Ran::No);
                break;
            }
        }
        prop_assert!(idempotent || writes <= 1);
    }

    // The typestate agrees with the policy.
    #[test]
    fn permits_follow_the_policy(stages in stages(), idempotent: bool) {
        for stage in stages {
            let attempt = Attempt::new(Permit::new(idempotent));
            let again = match stage {
                Stage::NotConnected => attempt.release().idempotent() == idempotent,
                Stage::Connected => attempt.connected().release().idempotent() == idempotent,
                _ => {
                    let mut sent = attempt.write();
                    if stage >= Stage::Answered {
                        sent.answered();
                    }
                    if stage == Stage::Relayed {
                        sent.relayed();
                    }
                    prop_assert_eq!(sent.stage(), stage);
                    sent.reissue().is_ok()
                }
            };
            let decision = policy().after_failure(&facts(idempotent), stage, NOW);
            prop_assert_eq!(again, decision == Decision::Retry);
        }
    }
}
