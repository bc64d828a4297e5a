//! Tests of many simultaneous registry entries.

use crocushold_base::Millis;
use crocushold_gateway::Fleet;
use crocushold_gateway::FleetSettings;
use crocushold_gateway::Heartbeat;
use crocushold_gateway::Need;
use crocushold_gateway::Presence;
use crocushold_gateway::ServerRecord;

const SERVERS: usize = 140;
const START: Millis = Millis(10_000);

fn record(number: usize, presence: Presence) -> ServerRecord {
    ServerRecord {
        id: format!("engine-{number}"),
        address: ([10, 0, 0, 1], number as u16).into(),
        service: "svc".to_owned(),
        zone: "here".to_owned(),
        software: "v1".to_owned(),
        slots: 32,
        presence,
        started: None,
        models: vec!["m".to_owned()],
        heartbeat: Heartbeat::default(),
    }
}

fn need() -> Need {
    Need {
        service: "svc".to_owned(),
        model: Some("m".to_owned()),
        prompt_tokens: 500,
        unique_tokens: 500,
        max_output_tokens: 50,
        ..Need::default()
    }
}

/// Guards against streams that stall while simultaneous entries are applied one by one.
#[test]
fn simultaneous_entries_cost_one_pass_over_the_servers() {
    let mut fleet = Fleet::new(FleetSettings::default());
    for number in 0..SERVERS {
        fleet.list(&record(number, Presence::Ready), START);
    }
    assert!(fleet.pick(&need(), &[], START).is_ok());
    assert_eq!(fleet.router_updates(), 1);
    for number in 0..SERVERS / 2 {
        fleet.list(&record(number, Presence::Leaving), START);
        fleet.unlist(&format!("engine-{}", SERVERS / 2 + number));
    }
    assert!(
        fleet.pick(&need(), &[], START).is_err(),
        "no server is left"
    );
    assert!(fleet.pick(&need(), &[], START).is_err());
    assert_eq!(fleet.router_updates(), 2);
}

/// Guards against choosing a server that was removed after the last update of the router.
#[test]
fn the_next_request_uses_all_entries() {
    let mut fleet = Fleet::new(FleetSettings::default());
    fleet.list(&record(0, Presence::Ready), START);
    fleet.list(&record(1, Presence::Ready), START);
    let first = fleet.pick(&need(), &[], START).expect("both are free");
    fleet.unlist(&first.id);
    let second = fleet.pick(&need(), &[], START).expect("one is free");
    assert_ne!(first.id, second.id);
    fleet.evacuate("here");
    assert!(fleet.pick(&need(), &[], START).is_err());
    fleet.readmit("here", START);
    assert!(fleet.pick(&need(), &[], START).is_ok());
}
