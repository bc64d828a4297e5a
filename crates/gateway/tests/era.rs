//! What is believed of a store that has come back from an older copy.

use crocushold_base::Millis;
use crocushold_gateway::EVACUATION_GRACE;
use crocushold_gateway::EntryVersion;
use crocushold_gateway::EraGuard;
use test_case::test_case;

const BACK: Millis = Millis(10_000);

fn entry(started: Option<u64>, sequence: u64) -> EntryVersion {
    EntryVersion { started, sequence }
}

/// A server whose entry 7 was read; then the store goes back.
fn guard(started: Option<u64>, gone: bool) -> EraGuard {
    let mut guard = EraGuard::default();
    assert!(guard.accepts("a", entry(started, 7)));
    if gone {
        guard.forget("a");
    }
    guard.begin(BACK);
    guard
}

/// Guards against believing what a server said before it was leaving, or gone.
#[test_case(None, false, entry(None, 6), false; "an older one")]
#[test_case(None, false, entry(None, 7), true; "the one that is known")]
#[test_case(None, false, entry(None, 8), true; "a newer one")]
#[test_case(None, true, entry(None, 7), false; "the last one of a server that is gone")]
#[test_case(None, true, entry(None, 8), true; "a newer one of a server that was taken for gone")]
#[test_case(Some(50), true, entry(Some(40), 99), false; "of an earlier process")]
#[test_case(Some(50), true, entry(Some(60), 1), true; "of a later process")]
fn an_entry_counts_unless_it_is_older(
    started: Option<u64>,
    gone: bool,
    told: EntryVersion,
    believed: bool,
) {
    assert_eq!(guard(started, gone).accepts("a", told), believed);
}

/// Guards against doubt that outlives its cause: a server that numbers its entries anew is believed again.
#[test]
fn what_was_written_since_ends_the_doubt() {
    let mut guard = guard(None, false);
    assert!(guard.accepts("a", entry(None, 8)));
    assert!(guard.accepts("a", entry(None, 1)));
    assert!(guard.accepts("b", entry(None, 1)), "it is new");
}

/// Guards against a memory of servers that are gone which grows with each release.
#[test]
fn only_the_latest_that_are_gone_are_remembered() {
    let mut guard = EraGuard::default();
    for number in 0..10_000 {
        let id = format!("server-{number}");
        assert!(guard.accepts(&id, entry(None, 1)));
        guard.forget(&id);
    }
    guard.begin(BACK);
    assert!(!guard.accepts("server-9999", entry(None, 1)));
    assert!(guard.accepts("server-0", entry(None, 1)));
}

/// Guards against taking an evacuation back early, or never.
#[test]
fn an_evacuation_that_the_copy_lacks_holds_for_a_while() {
    let mut guard = EraGuard::default();
    assert!(!guard.retains_evacuation("z", BACK), "it was taken back");
    guard.begin(BACK);
    assert!(guard.retains_evacuation("z", BACK));
    let ends = BACK + EVACUATION_GRACE;
    assert!(guard.expire(Millis(ends.0 - 1)).is_empty());
    assert_eq!(guard.expire(ends), ["z"]);
    assert!(!guard.retains_evacuation("z", ends));
}

/// Guards against readmitting a zone whose evacuation was written again.
#[test]
fn an_evacuation_that_is_told_again_isnt_doubted() {
    let mut guard = EraGuard::default();
    guard.begin(BACK);
    assert!(guard.retains_evacuation("z", BACK));
    guard.confirm_zone("z");
    assert!(guard.expire(BACK + EVACUATION_GRACE).is_empty());
}
