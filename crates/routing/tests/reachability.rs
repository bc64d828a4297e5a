//! Tests of telling a server that fails from a network path that is lost.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::ReachChange;
use crocushold_routing::ReachEvidence;
use crocushold_routing::Reachability;
use slotmap::SlotMap;
use test_case::test_case;

const START: Millis = Millis(1000);

/// A path with the keys of `count` servers, all of which were connected at the start.
fn connected(count: usize) -> (Reachability, Vec<ServerKey>) {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let keys: Vec<ServerKey> = (0..count).map(|_| keys.insert(())).collect();
    let mut reach = Reachability::new(1);
    for &key in &keys {
        reach.record_connected(key, START);
    }
    (reach, keys)
}

fn fail(reach: &mut Reachability, key: ServerKey, started: u64, known: usize) -> Vec<ReachChange> {
    let evidence = ReachEvidence::Request;
    reach.record_failure(key, START + Millis(started), evidence, known)
}

/// Guards against servers that are blamed one by one for a path that all of them lost.
#[test_case(2, 2; "both of two servers")]
#[test_case(12, 3; "three of twelve servers")]
fn failures_of_several_servers_are_one_lost_path(known: usize, failing: usize) {
    let (mut reach, keys) = connected(known);
    for (number, &key) in keys.iter().take(failing).enumerate() {
        assert_eq!(reach.lost_since(), None);
        fail(&mut reach, key, 10 + number as u64, known);
    }
    assert_eq!(reach.lost_since(), Some(START + Millis(10)));
    assert!(!keys.iter().any(|&key| reach.reaches(key)));
}

/// Guards against crashed servers that are taken for a lost path while others are in use.
#[test]
fn servers_that_fail_beside_others_are_no_lost_path() {
    let (mut reach, keys) = connected(12);
    for (number, &key) in keys.iter().take(6).enumerate() {
        let at = 10 * (number as u64 + 1);
        fail(&mut reach, key, at, 12);
        reach.record_connected(keys[11], START + Millis(at + 5));
    }
    assert_eq!(reach.lost_since(), None);
    assert_eq!(reach.unreachable().count(), 6);
    assert!(reach.reaches(keys[7]));
    assert!(!reach.reaches(keys[0]));
}

/// Guards against a connection attempt that fails late, and is taken for news about a server that
/// has been connected since it began.
#[test]
fn a_failure_that_began_before_the_last_connection_says_nothing() {
    let (mut reach, keys) = connected(3);
    let late = reach.record_failure(keys[0], START, ReachEvidence::Request, 3);
    assert!(late.is_empty());
    assert!(reach.reaches(keys[0]));
}

/// Guards against an instance that goes on to avoid servers after its path is back.
#[test]
fn the_first_connection_regains_the_path_and_what_was_lost_with_it() {
    let (mut reach, keys) = connected(5);
    for &key in &keys[..4] {
        fail(&mut reach, key, 10, 5);
    }
    let changes = reach.record_connected(keys[4], START + Millis(700));
    assert_eq!(changes, [ReachChange::PathRegained { after: Millis(690) }]);
    assert!(keys.iter().all(|&key| reach.reaches(key)));
}
