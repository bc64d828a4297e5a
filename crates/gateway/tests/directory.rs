//! Tests of the server directory across registry outages.

use std::collections::HashSet;

use crocushold_base::Millis;
use crocushold_gateway::Directory;
use crocushold_gateway::EntryVersion;
use crocushold_gateway::RETURN_GRACE;
use crocushold_gateway::Removal;

fn known(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for id in ids {
        directory.observe(id, EntryVersion::default());
    }
    directory
}

#[test]
fn an_entry_removed_while_the_registry_is_reachable_is_gone() {
    let mut directory = known(&["a", "b"]);
    assert_eq!(directory.remove("a", Millis(10)), Removal::Gone);
    assert_eq!(
        directory.remove("a", Millis(11)),
        Removal::Unknown,
        "the removal is reported once"
    );
    let ids = HashSet::new();
    let missing = directory.reconcile(&ids, Millis(12));
    assert_eq!(missing, [("b".to_owned(), Removal::Gone)]);
}

/// The registry is unreachable for 5 s and all leases expire. Only one of two servers returns in
/// time.
#[test]
fn after_an_outage_only_servers_that_stay_missing_are_removed() {
    let mut directory = known(&["a", "b"]);
    assert!(directory.record_failure());
    assert!(!directory.record_failure(), "the outage is reported once");
    let back = Millis(5000);
    assert!(directory.record_success(back));
    let unconfirmed = Removal::Unconfirmed(back + RETURN_GRACE);
    assert_eq!(directory.remove("a", back), unconfirmed);
    assert_eq!(directory.remove("b", back), unconfirmed);
    assert_eq!(directory.unconfirmed(), 2);
    directory.observe("a", EntryVersion::default());
    assert!(
        directory
            .expire(Millis(back.0 + RETURN_GRACE.0 - 1))
            .is_empty()
    );
    assert_eq!(directory.expire(back + RETURN_GRACE), ["b"]);
    assert_eq!(directory.unconfirmed(), 0);
}

/// The registry becomes unreachable again before the end of the grace period, in which no server
/// could have returned.
#[test]
fn a_second_outage_suspends_the_grace_period() {
    let mut directory = known(&["a"]);
    directory.record_failure();
    directory.record_success(Millis(1000));
    let removal = directory.remove("a", Millis(1000));
    assert_eq!(removal, Removal::Unconfirmed(Millis(1000) + RETURN_GRACE));
    directory.record_failure();
    assert!(directory.expire(Millis(60_000)).is_empty());
}

#[test]
fn an_entry_removed_long_after_recovery_is_gone_at_once() {
    let mut directory = known(&["a"]);
    directory.record_failure();
    directory.record_success(Millis(1000));
    let removal = directory.remove("a", Millis(1000) + RETURN_GRACE);
    assert_eq!(removal, Removal::Gone);
}
