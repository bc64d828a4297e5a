//! Tests of the guard against outdated data after the store was restored from an older copy.

use crocushold_base::Millis;
use crocushold_gateway::EVACUATION_GRACE;
use crocushold_gateway::EntryVersion;
use crocushold_gateway::EraGuard;
use test_case::test_case;

const BACK: Millis = Millis(10_000);

fn entry(started: Option<u64>, sequence: u64) -> EntryVersion {
    EntryVersion { started, sequence }
}

/// Returns a guard that knows version 7 of a server's entry, after a restore of the store.
fn guard(started: Option<u64>, removed: bool) -> EraGuard {
    let mut guard = EraGuard::default();
    assert!(guard.accepts("a", entry(started, 7)));
    if removed {
        guard.remove("a");
    }
    guard.start_era(BACK);
    guard
}

/// Guards against accepting entries that a server wrote before it was draining or removed.
#[test_case(None, false, entry(None, 6), false; "an older one")]
#[test_case(None, false, entry(None, 7), true; "the one that is known")]
#[test_case(None, false, entry(None, 8), true; "a newer one")]
#[test_case(None, true, entry(None, 7), false; "the last one of a server that is gone")]
#[test_case(None, true, entry(None, 8), true; "a newer one of a server that was taken for gone")]
#[test_case(Some(50), true, entry(Some(40), 99), false; "of an earlier process")]
#[test_case(Some(50), true, entry(Some(60), 1), true; "of a later process")]
fn an_entry_is_accepted_unless_it_is_older(
    started: Option<u64>,
    removed: bool,
    told: EntryVersion,
    believed: bool,
) {
    assert_eq!(guard(started, removed).accepts("a", told), believed);
}

/// Guards against a minimum version that outlives its purpose: a server that restarts its sequence
/// numbers must be accepted again.
#[test]
fn a_newer_entry_removes_the_minimum_version() {
    let mut guard = guard(None, false);
    assert!(guard.accepts("a", entry(None, 8)));
    assert!(guard.accepts("a", entry(None, 1)));
    assert!(guard.accepts("b", entry(None, 1)), "the server is new");
}

/// Guards against unbounded memory of removed servers, which would grow with each release.
#[test]
fn only_the_latest_removed_servers_are_remembered() {
    let mut guard = EraGuard::default();
    for number in 0..10_000 {
        let id = format!("server-{number}");
        assert!(guard.accepts(&id, entry(None, 1)));
        guard.remove(&id);
    }
    guard.start_era(BACK);
    assert!(!guard.accepts("server-9999", entry(None, 1)));
    assert!(guard.accepts("server-0", entry(None, 1)));
}

/// Guards against ending an evacuation too early, or never.
#[test]
fn an_evacuation_missing_from_the_copy_is_retained_temporarily() {
    let mut guard = EraGuard::default();
    assert!(
        !guard.retains_evacuation("z", BACK),
        "no restore, so it was ended"
    );
    guard.start_era(BACK);
    assert!(guard.retains_evacuation("z", BACK));
    let ends = BACK + EVACUATION_GRACE;
    assert!(guard.expire(Millis(ends.0 - 1)).is_empty());
    assert_eq!(guard.expire(ends), ["z"]);
    assert!(!guard.retains_evacuation("z", ends));
}

/// Guards against readmitting a zone whose evacuation was written again.
#[test]
fn an_evacuation_that_is_written_again_does_not_expire() {
    let mut guard = EraGuard::default();
    guard.start_era(BACK);
    assert!(guard.retains_evacuation("z", BACK));
    guard.confirm_zone("z");
    assert!(guard.expire(BACK + EVACUATION_GRACE).is_empty());
}
