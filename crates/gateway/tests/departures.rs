//! Tests of servers that said they are leaving, and of the spread to other instances.

mod common;

use crocushold_base::Millis;
use crocushold_gateway::Choice;
use crocushold_gateway::Fleet;
use crocushold_gateway::Need;
use crocushold_gateway::Packet;
use crocushold_gateway::ServerDeparture;
use crocushold_routing::Incarnation;
use crocushold_routing::Outcome;

use crate::common::START;
use crate::common::fleet;
use crate::common::record;

const SERVER: &str = "s1";

/// Time after which every instance has forgotten a departure.
const FORGOTTEN: Millis = Millis::from_secs(700);

/// Maximum size of a datagram, in bytes.
const MAX_PACKET: usize = 1400;

fn send(fleet: &mut Fleet, now: Millis) -> Option<Choice> {
    let need = Need {
        service: "svc".to_owned(),
        ..Need::default()
    };
    let choice = fleet.pick(&need, &[], now).ok()?;
    fleet.done(&choice, Outcome::Complete, 0, now);
    Some(choice)
}

/// An instance whose server said that it is leaving.
fn told_fleet() -> Fleet {
    let mut fleet = fleet(7);
    fleet.list(&record(SERVER, 1), START);
    let choice = send(&mut fleet, START).expect("a free server");
    assert!(fleet.record_departure(&choice, START));
    assert!(!fleet.record_departure(&choice, START), "it is known");
    fleet
}

/// Guards against keeping the next process under the same name out of use.
#[test]
fn a_new_process_under_the_same_name_is_used() {
    let mut fleet = told_fleet();
    assert!(send(&mut fleet, START).is_none());
    assert_eq!(fleet.serving(SERVER), None, "its end is expected");
    fleet.list(&record(SERVER, 2), START + Millis(2000));
    assert!(send(&mut fleet, START + Millis(2000)).is_some());
}

/// Guards against using a leaving server whose entry arrives after the departure, as from a store
/// that lags.
#[test]
fn a_departure_is_known_before_the_entry() {
    let departed = told_fleet().take_unsent_departures(START);
    let mut other = fleet(7);
    assert!(other.record_remote_departures(&departed, START).is_empty());
    other.list(&record(SERVER, 1), START + Millis(500));
    assert!(send(&mut other, START + Millis(500)).is_none());
}

/// Guards against instances that remind each other of a departure forever.
#[test]
fn a_departure_is_forgotten_by_all() {
    let mut fleets = [told_fleet(), fleet(7)];
    fleets[0].unlist(SERVER);
    let mut now = START;
    while now < START + FORGOTTEN {
        let [first, second] = &mut fleets;
        let known = first.known_departures(now);
        second.record_remote_departures(&known, now);
        let known = second.known_departures(now);
        first.record_remote_departures(&known, now);
        first.tick(now);
        second.tick(now);
        now += Millis::from_secs(1);
    }
    for fleet in &mut fleets {
        assert!(fleet.known_departures(now).is_empty());
        fleet.list(&record(SERVER, 1), now);
        assert!(send(fleet, now).is_some());
    }
}

/// Guards against using a leaving server again because its entry outlives the memory of its
/// departure.
#[test]
fn a_departure_is_remembered_while_the_server_is_listed() {
    let mut fleet = told_fleet();
    let later = START + FORGOTTEN;
    fleet.tick(later);
    assert!(send(&mut fleet, later).is_none());
}

/// Guards against departures that fill the memory, and against messages that exceed a datagram.
#[test]
fn the_memory_of_departures_is_bounded() {
    let mut fleet = fleet(7);
    for number in 0..10_000 {
        let departure = ServerDeparture {
            incarnation: Incarnation(u64::MAX - number),
            left: u32::MAX,
        };
        fleet.record_remote_departures(&[departure], START + Millis(number));
    }
    let sent = Packet::Departures(fleet.known_departures(START));
    assert!(sent.encode().len() <= MAX_PACKET);
    assert_eq!(Packet::decode(&sent.encode()), Some(sent));
    let mut total = 0;
    loop {
        let unsent = fleet.take_unsent_departures(START);
        if unsent.is_empty() {
            break;
        }
        total += unsent.len();
    }
    assert!(total <= 4096, "{total} are remembered");
}
