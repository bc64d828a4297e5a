//! Tests of servers whose process has been replaced by another one.

mod common;

use crocushold_gateway::Choice;
use crocushold_gateway::Fleet;
use crocushold_gateway::Need;
use crocushold_gateway::ServerRecord;

use crate::common::START;
use crate::common::fleet;
use crate::common::record;

/// Address of the chosen server and of its neighbour.
const ADDRESS: [&str; 2] = ["127.0.0.1:70", "127.0.0.1:71"];

fn process(id: &str, started: u64, address: &str) -> ServerRecord {
    ServerRecord {
        address: address.parse().expect("an address"),
        ..record(id, started)
    }
}

/// A fleet and its only server, which has started at 20.
fn chosen() -> (Fleet, Choice) {
    let mut fleet = fleet(7);
    fleet.list(&process("s1", 20, ADDRESS[0]), START);
    let need = Need {
        service: "svc".to_owned(),
        ..Need::default()
    };
    let choice = fleet.pick(&need, &[], START).expect("a free server");
    (fleet, choice)
}

/// Guards against a successor that is taken for the process that began an answer.
#[test]
fn a_later_process_at_the_address_or_of_the_name_replaces_one() {
    for successor in [process("s2", 30, ADDRESS[0]), process("s1", 30, ADDRESS[1])] {
        let (mut fleet, choice) = chosen();
        assert!(!fleet.is_replaced(&choice));
        fleet.list(&successor, START);
        assert!(fleet.is_replaced(&choice), "{successor:?}");
    }
}

/// Guards against whole answers that count as cut while the entry of a former process hasn't lapsed.
#[test]
fn a_former_process_at_the_address_replaces_none() {
    let (mut fleet, choice) = chosen();
    fleet.list(&process("s0", 10, ADDRESS[0]), START);
    fleet.list(&process("s2", 30, ADDRESS[1]), START);
    assert!(!fleet.is_replaced(&choice));
}
