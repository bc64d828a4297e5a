//! Tests of the server directory across registry outages.

use std::collections::HashSet;

use crocushold_base::Millis;
use crocushold_gateway::Directory;
use crocushold_gateway::EntryVersion;
use crocushold_gateway::RETURN_GRACE;
use crocushold_gateway::Removal;
use test_case::test_case;

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

/// Contact of another instance, and what it says about the outage of this one from 2 s to 5 s.
#[test_case(Millis(2000), true; "without a failure since before the outage")]
#[test_case(Millis(2001), false; "only since the outage")]
fn removals_are_confirmed_by_an_instance_that_kept_its_contact(since: Millis, confirmed: bool) {
    let mut directory = known(&["a", "b"]);
    directory.record_success(Millis(2000));
    directory.record_failure();
    let back = Millis(5000);
    directory.record_success(back);
    assert_eq!(
        directory.remove("a", back),
        Removal::Unconfirmed(back + RETURN_GRACE)
    );
    let gone = directory.confirm_removals(since, back + Millis(100));
    assert_eq!(gone == ["a"], confirmed);
    assert_eq!(
        directory.remove("b", back + Millis(200)) == Removal::Gone,
        confirmed
    );
    assert_eq!(directory.needs_confirmation(back + Millis(200)), !confirmed);
}

/// Guards against confirming the removals of an outage for all because of a later one that only this
/// instance had.
#[test]
fn a_second_outage_does_not_confirm_the_removals_of_the_first() {
    let mut directory = known(&["a"]);
    directory.record_success(Millis(2000));
    directory.record_failure();
    directory.record_success(Millis(5000));
    directory.remove("a", Millis(5000));
    directory.record_failure();
    directory.record_success(Millis(6000));
    // The other instance has had contact since the first outage, and kept it in the second one.
    let gone = directory.confirm_removals(Millis(4900), Millis(6100));
    assert_eq!(gone, [""; 0]);
    assert_eq!(directory.unconfirmed(), 1);
}

/// A store that was restored from an older copy lacks entries of running servers, whoever kept its
/// contact to it.
#[test]
fn removals_after_a_rollback_are_not_confirmed() {
    let mut directory = known(&["a"]);
    directory.record_success(Millis(2000));
    directory.record_failure();
    directory.record_success(Millis(5000));
    directory.record_rollback(Millis(5000));
    directory.remove("a", Millis(5000));
    let gone = directory.confirm_removals(Millis::ZERO, Millis(5100));
    assert_eq!(gone, [""; 0]);
    assert_eq!(directory.unconfirmed(), 1);
}

/// An instance that was suspended can't tell whether the registry was available meanwhile.
#[test]
fn contact_is_interrupted_by_a_long_silence() {
    let mut directory = known(&[]);
    assert_eq!(directory.contact_age(Millis(10)), None);
    directory.record_success(Millis(1000));
    directory.record_success(Millis(5000));
    assert_eq!(directory.contact_age(Millis(6000)), Some(Millis(5000)));
    assert_eq!(directory.contact_age(Millis(15_000)), None);
    directory.record_success(Millis(15_000));
    assert_eq!(directory.contact_age(Millis(15_000)), Some(Millis::ZERO));
    directory.record_failure();
    assert_eq!(directory.contact_age(Millis(15_000)), None);
}
