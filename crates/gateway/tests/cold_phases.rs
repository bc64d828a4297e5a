//! Tests of how long instances take a server for cold, as entries don't contain when they were written.

mod common;

use crocushold_base::Millis;
use crocushold_gateway::ColdPhase;
use crocushold_gateway::ColdReview;
use crocushold_gateway::Fleet;
use crocushold_gateway::FleetSettings;
use crocushold_gateway::Heartbeat;
use crocushold_gateway::ServerRecord;
use crocushold_gateway::SlowStart;

use crate::common::START;
use crate::common::fleet;
use crate::common::record;

const SERVER: &str = "s1";

/// The cold phase of a new server.
const COLD: Millis = Millis::from_secs(3);

/// Time between the first reading of an entry and another one, as in an outage of the store.
const OUTAGE: Millis = Millis::from_secs(2);

/// Time by which ends of a cold phase may differ between instances.
const TOLERANCE: Millis = Millis(100);

/// An instance that knows that the servers start slowly.
fn slow_fleet() -> Fleet {
    let mut fleet = fleet(7);
    fleet.set_slow_starts(&[slow_start()]);
    fleet
}

fn slow_start() -> SlowStart {
    SlowStart {
        service: "svc".to_owned(),
        rate: 4.0,
        duration: COLD,
        health_path: Some("/health".to_owned()),
    }
}

/// The entry of a process that has just started.
fn cold_record(started: u64, sequence: u64, cold_remaining: Millis) -> ServerRecord {
    ServerRecord {
        heartbeat: Heartbeat {
            sequence,
            cold_remaining,
        },
        ..record(SERVER, started)
    }
}

/// Guards against refusing requests as long again for a server that was cold before an outage of the store:
/// its entry is read anew after it.
#[test]
fn an_entry_that_is_read_again_extends_no_cold_phase() {
    let mut fleet = slow_fleet();
    fleet.list(&cold_record(1, 1, COLD), START);
    fleet.list(&cold_record(1, 1, COLD), START + OUTAGE);
    assert_eq!(fleet.cold_until(SERVER, START + OUTAGE), Some(START + COLD));
}

/// Guards against overloading a server that has become cold again, or whose new process writes the same
/// as the old one did.
#[test]
fn a_newer_entry_and_a_new_process_begin_a_cold_phase() {
    for next in [cold_record(1, 2, COLD), cold_record(2, 1, COLD)] {
        let mut fleet = slow_fleet();
        fleet.list(&cold_record(1, 1, COLD), START);
        fleet.list(&next, START + OUTAGE);
        assert_eq!(
            fleet.cold_until(SERVER, START + OUTAGE),
            Some(START + OUTAGE + COLD)
        );
    }
}

/// Guards against an instance that has just started, reads an old entry, and refuses what the others serve.
#[test]
fn an_instance_takes_over_the_earlier_end_that_another_one_knows() {
    let mut first = slow_fleet();
    first.list(&cold_record(1, 1, COLD), START);
    let now = START + OUTAGE;
    let mut late = slow_fleet();
    late.list(&cold_record(1, 1, COLD), now);
    let told = late.take_untold_cold(now);
    assert_eq!(told.len(), 1);
    let answer = first.review_cold(&told, now);
    assert!(answer.shortened.is_empty());
    let review = late.review_cold(&answer.earlier, now);
    assert_eq!(review.shortened, [SERVER]);
    assert_eq!(late.cold_until(SERVER, now), Some(START + COLD));
    // Neither has more to say.
    let told = late.take_untold_cold(now);
    assert_eq!(first.review_cold(&told, now), ColdReview::default());
}

/// Guards against sending to a cold server what it doesn't withstand, as another instance has an older entry
/// or that of an earlier process.
#[test]
fn what_is_known_of_other_entries_shortens_no_cold_phase() {
    for (old, new) in [
        (cold_record(1, 1, COLD), cold_record(1, 2, COLD)),
        (cold_record(1, 1, COLD), cold_record(2, 1, COLD)),
    ] {
        let mut behind = slow_fleet();
        behind.list(&old, START);
        let now = START + OUTAGE;
        let mut fleet = slow_fleet();
        fleet.list(&new, now);
        let answer = behind.review_cold(&fleet.take_untold_cold(now), now);
        assert_eq!(answer, ColdReview::default());
        let told = behind.take_untold_cold(now);
        assert_eq!(fleet.review_cold(&told, now), ColdReview::default());
        assert_eq!(fleet.cold_until(SERVER, now), Some(now + COLD));
    }
}

/// Guards against messages that instances exchange without an end: heartbeats of a cold server change the
/// end by as much as the entries take to arrive.
#[test]
fn heartbeats_of_a_cold_server_are_not_told() {
    let mut fleet = slow_fleet();
    fleet.list(&cold_record(1, 1, COLD), START);
    while !fleet.take_untold_cold(START).is_empty() {}
    for (sequence, delay) in (2..10).zip([40, 10, 80, 0, 30, 90, 20, 60]) {
        let passed = Millis(200 * sequence);
        let left = COLD.since(passed);
        let now = START + passed + Millis(delay);
        fleet.list(&cold_record(1, sequence, left), now);
        let told: Vec<ColdPhase> = fleet.take_untold_cold(now);
        assert!(told.is_empty(), "{told:?}");
        let until = fleet.cold_until(SERVER, now).expect("it is cold");
        assert!(until.since(START + COLD) <= TOLERANCE);
    }
}

/// Guards against asking each server again at every heartbeat, and by every instance.
#[test]
fn the_instance_that_sends_to_cold_servers_asks_each_once_for_a_cold_phase() {
    let mut fleet = slow_fleet();
    fleet.list(&cold_record(1, 1, COLD), START);
    let queries = fleet.take_cold_queries(START);
    let [query] = queries.as_slice() else {
        panic!("{queries:?}");
    };
    assert_eq!((&*query.id, query.path.as_str()), (SERVER, "/health"));
    fleet.list(&cold_record(1, 2, COLD), START);
    assert!(fleet.take_cold_queries(START).is_empty());
    let again = START + OUTAGE;
    fleet.list(&cold_record(1, 3, COLD), again);
    assert_eq!(fleet.take_cold_queries(again).len(), 1);
    let mut other = Fleet::new(FleetSettings::default());
    other.set_slow_starts(&[slow_start()]);
    other.list(&cold_record(1, 1, COLD), START);
    assert!(other.take_cold_queries(START).is_empty());
    other.set_placer(true);
    assert_eq!(other.take_cold_queries(START).len(), 1);
}

/// Guards against a server that is taken for warm by an answer that concerned an earlier entry.
#[test]
fn an_answer_of_a_server_counts_for_the_entry_that_it_was_asked_about() {
    for (next, until) in [
        (cold_record(1, 1, COLD), None),
        (cold_record(1, 2, COLD), Some(START + COLD)),
        (cold_record(2, 1, COLD), Some(START + COLD)),
    ] {
        let mut fleet = slow_fleet();
        fleet.list(&cold_record(1, 1, COLD), START);
        let query = fleet.take_cold_queries(START).remove(0);
        fleet.list(&next, START);
        let warm = ColdPhase {
            left: 0,
            ..query.phase
        };
        fleet.review_cold(&[warm], START);
        assert_eq!(fleet.cold_until(SERVER, START), until);
    }
}
