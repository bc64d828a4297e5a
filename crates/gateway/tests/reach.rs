//! Tests of what an instance concludes from connections that fail, by service and by server.

use crocushold_base::Millis;
use crocushold_gateway::Choice;
use crocushold_gateway::Fleet;
use crocushold_gateway::FleetSettings;
use crocushold_gateway::Heartbeat;
use crocushold_gateway::Need;
use crocushold_gateway::Presence;
use crocushold_gateway::ServerRecord;
use crocushold_routing::Outcome;

const START: Millis = Millis(10_000);
const SERVICES: [&str; 2] = ["engines", "plain"];
const SERVERS: u8 = 4;

fn record(service: &str, number: u8) -> ServerRecord {
    ServerRecord {
        id: format!("{service}-{number}"),
        address: ([10, 0, 0, number], 80).into(),
        service: service.to_owned(),
        zone: "here".to_owned(),
        software: "v1".to_owned(),
        slots: 4,
        presence: Presence::Ready,
        started: None,
        models: Vec::new(),
        heartbeat: Heartbeat::default(),
    }
}

/// A fleet of both services.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(FleetSettings::default());
    for service in SERVICES {
        for number in 0..SERVERS {
            fleet.list(&record(service, number), START);
        }
    }
    fleet
}

fn need(service: &str) -> Need {
    Need {
        service: service.to_owned(),
        ..Need::default()
    }
}

/// Fails `count` connections of a service one after the other, each to a server that wasn't tried.
/// Returns the choices.
fn fail(fleet: &mut Fleet, service: &str, count: u8, now: Millis) -> Vec<Choice> {
    let mut failed: Vec<Choice> = Vec::new();
    for _ in 0..count {
        let tried: Vec<_> = failed.iter().map(|choice| choice.server).collect();
        let choice = fleet
            .pick(&need(service), &tried, now)
            .expect("a server is free");
        fleet.record_connect_failure(&choice);
        fleet.done(&choice, Outcome::Refused, 0, now);
        failed.push(choice);
    }
    failed
}

/// Connects to a server of a service.
fn connect(fleet: &mut Fleet, service: &str, now: Millis) {
    let choice = fleet
        .pick(&need(service), &[], now)
        .expect("a server is free");
    fleet.record_connected(&choice, now);
    fleet.done(&choice, Outcome::Complete, 1, now);
}

/// Guards against an instance that keeps the requests of one service whose servers are all out of its
/// reach, as it reaches those of another.
#[test]
fn a_service_out_of_reach_is_told_from_the_others() {
    let mut fleet = fleet();
    for number in 0..SERVERS {
        let now = START + Millis(u64::from(number) * 10);
        connect(&mut fleet, "plain", now + Millis(5));
        fail(&mut fleet, "engines", 1, now);
    }
    let now = START + Millis(100);
    assert_eq!(fleet.path_lost_since(), None);
    assert!(!fleet.can_reach(&need("engines"), now));
    assert!(fleet.can_reach(&need("plain"), now));
    assert!(!fleet.can_send(&need("unknown"), now));
}

/// Guards against a placer that chooses a server which the asking instance can't reach.
#[test]
fn the_placer_is_told_which_servers_are_out_of_reach() {
    let mut fleet = fleet();
    connect(&mut fleet, "plain", START);
    let failed = fail(&mut fleet, "engines", 2, START);
    connect(&mut fleet, "plain", START + Millis(1));
    let excluded = fleet.excluded_hashes(&need("engines"), &[], START + Millis(2));
    let mut expected: Vec<u32> = failed.iter().map(|choice| choice.placed().engine).collect();
    expected.sort_unstable();
    let mut excluded = excluded;
    excluded.sort_unstable();
    assert_eq!(excluded, expected);
    let none = fleet.excluded_hashes(&need("plain"), &[], START + Millis(2));
    assert_eq!(none, [0; 0]);
}

/// Guards against servers that stay out of use after the path is back, as failures on the lost path
/// were held against them.
#[test]
fn a_lost_path_is_held_against_no_server() {
    let mut fleet = fleet();
    let failed = fail(&mut fleet, "engines", 3, START);
    assert!(fleet.path_lost_since().is_some());
    fleet.record_connected(&failed[0], START + Millis(500));
    assert_eq!(fleet.path_lost_since(), None);
    let now = START + Millis(501);
    let mut chosen = Vec::new();
    for _ in 0..SERVERS {
        let tried: Vec<_> = chosen.iter().map(|choice: &Choice| choice.server).collect();
        chosen.push(fleet.pick(&need("engines"), &tried, now).unwrap());
    }
    assert_eq!(chosen.len(), usize::from(SERVERS));
}
