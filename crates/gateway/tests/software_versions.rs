//! Servers of several software versions, as an instance sees them.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use common::START;
use crocushold_base::Millis;
use crocushold_gateway::Fleet;
use crocushold_gateway::LatestSoftware;
use crocushold_gateway::Need;
use crocushold_gateway::Presence;
use crocushold_gateway::ServerRecord;
use crocushold_routing::Outcome;
use crocushold_routing::Reason;
use crocushold_routing::SoftwareKey;
use test_case::test_case;
use twox_hash::XxHash3_64;

/// Longest time for which a stream may last.
const SPAN: Millis = Millis(10_000);

fn engine(id: &str, software: &str) -> ServerRecord {
    ServerRecord {
        software: software.to_owned(),
        models: vec!["m".to_owned()],
        ..common::record(id, 1)
    }
}

fn need(prompt_tokens: u32, max_pause: Option<Millis>) -> Need {
    Need {
        service: "svc".to_owned(),
        model: Some("m".to_owned()),
        prompt_tokens,
        unique_tokens: prompt_tokens,
        max_output_tokens: 10,
        max_pause,
        software: Some(SoftwareKey::new("v1")),
        ..Need::default()
    }
}

/// An instance that lists six engines, of which only the one at `index` has version `v1`.
fn fleet(index: usize) -> Fleet {
    let mut fleet = common::fleet(1);
    let pauses = [("svc".to_owned(), Millis(100))];
    fleet.set_live_pauses(pauses.into_iter().collect());
    for number in 0..6 {
        let software = if number == index { "v1" } else { "v2" };
        fleet.list(&engine(&format!("e{number}"), software), START);
    }
    fleet
}

/// Guards against a stream that goes on at a process of another version, which has replaced the one of the last entry.
#[test]
fn a_process_that_refuses_connections_has_no_version_until_its_next_entry() {
    let need = need(100, None);
    let mut fleet = fleet(0);
    let entry = |sequence, started| {
        let mut record = engine("e0", "v1");
        record.heartbeat.sequence = sequence;
        record.started = started;
        record
    };
    fleet.list(&entry(5, Some(1)), START);
    let choice = fleet.pick(&need, &[], START).unwrap();
    assert!(fleet.knows_software(&choice));
    fleet.record_refused(&choice, START);
    assert!(!fleet.knows_software(&choice));
    let refused = |fleet: &mut Fleet, now: Millis| {
        let picked = fleet.pick(&need, &[], now);
        picked.is_err_and(|none| none.reason == Reason::Software)
    };
    assert!(refused(&mut fleet, START));
    // An entry that was written before, and one that was read again.
    fleet.list(&entry(6, Some(1)), START + Millis(1000));
    assert!(refused(&mut fleet, START + Millis(1000)));
    fleet.list(&entry(5, Some(1)), START + Millis(4000));
    assert!(refused(&mut fleet, START + Millis(4000)));
    // The process has lived on.
    fleet.list(&entry(7, Some(1)), START + Millis(4000));
    assert!(!refused(&mut fleet, START + Millis(4000)));
    // Another process of the same version has started.
    let choice = fleet.pick(&need, &[], START + Millis(4000)).unwrap();
    fleet.record_refused(&choice, START + Millis(4000));
    assert!(refused(&mut fleet, START + Millis(4000)));
    fleet.list(&entry(1, Some(2)), START + Millis(4500));
    assert!(!refused(&mut fleet, START + Millis(4500)));
}

/// Divides the engines among live streams, short and long prompts.
fn divide(fleet: &mut Fleet) {
    let needs = [
        need(4000, Some(Millis(100))),
        need(4000, None),
        need(8000, None),
    ];
    for need in needs.iter().cycle().take(300) {
        let anywhere = Need {
            software: None,
            ..need.clone()
        };
        let choice = fleet.pick(&anywhere, &[], START).unwrap();
        fleet.record_pause(&choice, Millis(500), START);
        fleet.done(&choice, Outcome::Complete, 10, START);
    }
    let moved = fleet.tick(START + Millis(500));
    let engines = moved[0].engines;
    assert!(engines.iter().all(|count| *count > 0), "{engines:?}");
}

/// Guards against a stream that is refused because the servers of its version are in a lane which
/// requests of its kind don't use.
#[test_case(100, None; "light")]
#[test_case(8000, None; "heavy")]
#[test_case(100, Some(Millis(100)); "live")]
fn the_required_version_is_found_in_each_lane(prompt_tokens: u32, max_pause: Option<Millis>) {
    for index in 0..6 {
        let mut fleet = fleet(index);
        divide(&mut fleet);
        let later = START + Millis(600);
        let need = need(prompt_tokens, max_pause);
        let choice = fleet.pick(&need, &[], later).unwrap();
        assert_eq!(*choice.id, format!("e{index}"));
        assert_eq!(&*choice.software, "v1");
    }
}

/// Guards against a new request at a server that is leaving, because it is the last of its version.
#[test]
fn a_version_whose_last_server_is_leaving_has_gone() {
    let mut fleet = fleet(2);
    let leaving = ServerRecord {
        presence: Presence::Leaving,
        ..engine("e2", "v1")
    };
    fleet.list(&leaving, START);
    let refused = fleet.pick(&need(100, None), &[], START).unwrap_err();
    assert_eq!(refused.reason, Reason::Software);
    assert!(!fleet.can_send(&need(100, None), START));
}

/// Guards against a version that is taken for the only one while streams of another may still be taken
/// up.
#[test]
fn a_version_is_the_only_one_after_the_longest_stream() {
    let mut fleet = fleet(2);
    let hash = XxHash3_64::oneshot(b"svc") as u32;
    let seen = |fleet: &Fleet, now| fleet.latest_software(hash, now);
    assert_eq!(seen(&fleet, START).alone, Millis::ZERO);
    fleet.unlist("e2");
    let soon = START + Millis(500);
    fleet.tick(soon);
    assert_eq!(seen(&fleet, soon).alone, Millis::ZERO);
    // The last answer of a server may come some time after its entry has gone.
    let early = START + SPAN + Millis::from_secs(1);
    assert!(seen(&fleet, early).alone <= SPAN);
    let late = soon + SPAN + Millis::from_secs(3);
    fleet.tick(late);
    assert_eq!(seen(&fleet, late).software, Some(SoftwareKey::new("v2")));
    assert!(seen(&fleet, late).alone > SPAN);
    assert_eq!(fleet.latest_software(1, late), LatestSoftware::default());
}

/// Guards against a server that is replaced under its name and keeps the version of the former process.
#[test]
fn a_server_that_is_replaced_has_its_new_version() {
    let mut fleet = common::fleet(1);
    fleet.list(&engine("e1", "v1"), START);
    assert!(fleet.pick(&need(100, None), &[], START).is_ok());
    fleet.list(&engine("e1", "v2"), START);
    let refused = fleet.pick(&need(100, None), &[], START).unwrap_err();
    assert_eq!(refused.reason, Reason::Software);
}
