//! Tests of what an instance that has just started is told.

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::UsualPace;

use super::Handover;
use super::PACE_ANSWERS_PER_ROUND;
use crate::fleet::Fleet;
use crate::fleet::FleetSettings;
use crate::fleet::ServerPace;
use crate::fleet::short_hash;
use crate::placing::Packet;
use crate::routes::Heartbeat;
use crate::routes::Presence;
use crate::routes::ServerRecord;
use crate::sharing::Content;
use crate::sharing::Gossip;
use crate::sharing::Identity;
use crate::sharing::Message;
use crate::sharing::message::MAX_MESSAGE_BYTES;

const NOW: Millis = Millis(5000);

/// Number of servers of the largest deployment.
const SERVERS: u16 = 5900;

fn name(server: u16) -> String {
    format!("engine-{server}")
}

fn fleet(servers: u16) -> Fleet {
    let mut fleet = Fleet::new(FleetSettings::default());
    for server in 0..servers {
        let [high, low] = server.to_be_bytes();
        let record = ServerRecord {
            id: name(server),
            address: ([10, 1, high, low], 80).into(),
            service: "svc".to_owned(),
            zone: "here".to_owned(),
            software: "v1".to_owned(),
            slots: 4,
            presence: Presence::Ready,
            started: None,
            models: vec!["m".to_owned()],
            heartbeat: Heartbeat::default(),
        };
        fleet.list(&record, NOW);
    }
    fleet
}

fn pace(server: u16, percent: u16, reports: u8) -> ServerPace {
    ServerPace {
        server: short_hash(&name(server)),
        pace: UsualPace { percent, reports },
    }
}

/// The questions of an instance that has stayed up.
fn settled() -> Handover {
    Handover {
        pace_rounds_left: 0,
        ..Handover::default()
    }
}

fn peer(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7340).into()
}

/// The state of an instance that has heard one other.
fn gossip() -> Gossip {
    let identity = |number, capacity| Identity {
        address: peer(number),
        zone: 0,
        capacity,
    };
    let mut gossip = Gossip::new(identity(1, 1), &[]);
    let message = Message::new(&identity(2, 50), Vec::new(), Content::Members);
    gossip.receive(peer(2), message, NOW);
    gossip
}

fn paces(packets: &[Packet]) -> Vec<ServerPace> {
    let paces = packets.iter().map(|packet| match packet {
        Packet::Paces(paces) => paces.clone(),
        other => panic!("not about paces: {other:?}"),
    });
    paces.collect::<Vec<_>>().concat()
}

/// Guards against an instance that starts, is the placer, and gives servers of which the others know that they are
/// slow as much as fast ones; and against forgetting what it has learned itself.
#[test]
fn the_speeds_of_servers_reach_an_instance_that_starts() {
    let mut stayed = fleet(4);
    stayed.adopt_paces(&[pace(0, 160, 40), pace(1, 100, 40), pace(2, 60, 9)], NOW);
    let told = paces(&settled().answer_paces(&stayed));
    assert_eq!(told, [pace(2, 60, 9), pace(0, 160, 40)]);
    let mut started = fleet(4);
    started.adopt_paces(&[pace(2, 90, 20)], NOW);
    started.adopt_paces(&told, NOW);
    let known = started.unusual_paces();
    assert_eq!(known, [pace(0, 160, 40), pace(2, 90, 20)]);
}

/// Guards against an answer that fills the links of a fleet with thousands of servers, or doesn't fit its
/// datagrams. The most unusual servers are told.
#[test]
fn what_is_told_of_thousands_of_servers_is_bounded() {
    let mut stayed = fleet(SERVERS);
    let all: Vec<ServerPace> = (0..SERVERS)
        .map(|server| pace(server, 50 + server % 800, 255))
        .collect();
    stayed.adopt_paces(&all, NOW);
    let packets = settled().answer_paces(&stayed);
    let sizes: Vec<usize> = packets.iter().map(|packet| packet.encode().len()).collect();
    assert!(
        sizes.iter().all(|size| *size <= MAX_MESSAGE_BYTES),
        "{sizes:?}"
    );
    assert!(sizes.iter().sum::<usize>() <= 5000, "{sizes:?}");
    let told = paces(&packets);
    assert_eq!(told.len(), 600);
    assert!(told.iter().all(|told| told.pace.percent >= 700));
}

/// Guards against a placer whose link is filled by all that start at once, and against an answer of one that knows as
/// little as the one that asks.
#[test]
fn few_are_told_speeds_in_a_round() {
    let fleet = fleet(1);
    let mut stayed = settled();
    let answered = (0..100).filter(|_| !stayed.answer_paces(&fleet).is_empty());
    assert_eq!(answered.count(), PACE_ANSWERS_PER_ROUND);
    stayed.pace_targets(&gossip(), NOW);
    assert!(!stayed.answer_paces(&fleet).is_empty(), "another round");
    assert!(Handover::default().answer_paces(&fleet).is_empty());
}

/// Guards against an instance that asks for ever, or once only.
#[test]
fn speeds_are_asked_for_until_they_are_told() {
    let gossip = gossip();
    let mut asking = Handover::default();
    for _ in 0..3 {
        assert_eq!(asking.pace_targets(&gossip, NOW), [peer(2)]);
    }
    asking.record_paces(peer(2));
    assert!(asking.pace_targets(&gossip, NOW).is_empty());
    let mut unanswered = Handover::default();
    let rounds = (0..1000).filter(|_| !unanswered.pace_targets(&gossip, NOW).is_empty());
    assert_eq!(rounds.count(), 30);
}
