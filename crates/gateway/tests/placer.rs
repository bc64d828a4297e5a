//! Asking where a request should go, and placing for others: what is lost, late, doubled, or told by an
//! instance that is gone.

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::Fleet;
use crocushold_gateway::FleetSettings;
use crocushold_gateway::Heartbeat;
use crocushold_gateway::Need;
use crocushold_gateway::Packet;
use crocushold_gateway::Placement;
use crocushold_gateway::PlacementClient;
use crocushold_gateway::PlacementId;
use crocushold_gateway::PlacementReply;
use crocushold_gateway::PlacementRequest;
use crocushold_gateway::PlacementVerdict;
use crocushold_gateway::Placer;
use crocushold_gateway::Presence;
use crocushold_gateway::RequestEnd;
use crocushold_gateway::RequestUpdate;
use crocushold_gateway::ServerRecord;
use crocushold_gateway::UpdateKind;
use crocushold_routing::Outcome;

const ENGINES: u8 = 3;
const LEFT: Millis = Millis(6000);
const START: Millis = Millis(10_000);

fn asker_at(number: u8) -> SocketAddr {
    ([10, 0, 1, number], 7340).into()
}

fn record(engine: u8) -> ServerRecord {
    ServerRecord {
        id: format!("engine-{engine}"),
        address: ([10, 0, 0, engine], 80).into(),
        service: "svc".to_owned(),
        zone: "here".to_owned(),
        slots: 4,
        presence: Presence::Ready,
        started: None,
        models: vec!["m".to_owned()],
        heartbeat: Heartbeat::default(),
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(FleetSettings::default());
    for engine in 0..ENGINES {
        fleet.list(&record(engine), START);
    }
    fleet
}

fn need() -> Need {
    Need {
        service: "svc".to_owned(),
        model: Some("m".to_owned()),
        prompt_tokens: 9000,
        unique_tokens: 9000,
        max_output_tokens: 50,
        expected_output_tokens: 50,
        ..Need::default()
    }
}

fn ask(number: u32) -> PlacementRequest {
    PlacementRequest {
        number,
        zone: "here".to_owned(),
        remaining: LEFT,
        tried: Vec::new(),
        need: need(),
    }
}

fn place(reply: PlacementReply) -> Placement {
    match reply.verdict {
        PlacementVerdict::Placed(place) => place,
        other => panic!("no place: {other:?}"),
    }
}

fn ended(tokens: u32) -> UpdateKind {
    UpdateKind::Ended(RequestEnd {
        outcome: Outcome::Complete,
        tokens,
        pause: None,
    })
}

fn note(number: u32, kind: UpdateKind) -> RequestUpdate {
    RequestUpdate { number, kind }
}

/// What is told to be waiting at all engines, in milliseconds of reading.
fn queued_ms(fleet: &mut Fleet, now: Millis) -> u32 {
    let load = fleet.local_load(now);
    load.queues.iter().map(|entry| entry.read_ms).sum()
}

/// Three instances ask within a millisecond. Each by itself would see three idle engines; the placer has
/// placed the ones before, so that each prompt has an engine of its own.
#[test]
fn requests_that_come_together_go_to_different_engines() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    let replies = (0..ENGINES).map(|number| {
        let reply = placer.place(&mut fleet, asker_at(number), &ask(1), START);
        place(reply).engine
    });
    let mut engines: Vec<u32> = replies.collect();
    engines.sort_unstable();
    engines.dedup();
    assert_eq!(engines.len(), usize::from(ENGINES));
}

/// The network doubles a question. The caller's request runs once, so that it must take one slot only, and
/// both replies must say the same.
#[test]
fn a_doubled_question_takes_one_slot() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    let first = placer.place(&mut fleet, asker_at(1), &ask(1), START);
    let before = queued_ms(&mut fleet, START);
    let second = placer.place(&mut fleet, asker_at(1), &ask(1), START + Millis(1));
    assert_eq!(first, second);
    assert_eq!(queued_ms(&mut fleet, START), before);
    assert_eq!(placer.len(), 1);
}

/// The same number from two instances names two questions.
#[test]
fn instances_count_by_themselves() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    placer.place(&mut fleet, asker_at(1), &ask(7), START);
    placer.place(&mut fleet, asker_at(2), &ask(7), START);
    placer.note(&mut fleet, asker_at(1), note(7, ended(10)), START);
    assert_eq!(placer.len(), 1);
}

/// Notes are told more than once, and the one that an answer has begun may come behind the one that it has
/// ended. Each counts once, and in the end nothing is taken.
#[test]
fn notes_may_be_doubled_and_overtake_each_other() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    placer.place(&mut fleet, asker_at(1), &ask(1), START);
    let began = note(1, UpdateKind::Started(Some([3, 0])));
    let ended = note(1, ended(10));
    for note in [began, began, ended, began, ended] {
        placer.note(&mut fleet, asker_at(1), note, START + Millis(200));
    }
    assert!(placer.is_empty());
    assert_eq!(queued_ms(&mut fleet, START + Millis(200)), 0);
}

/// The instance that asked loses its power, and nothing more comes of its request. The engine must not seem
/// busy for ever: its slot is free again soon after the request's time is over.
#[test]
fn a_lost_instance_leaves_no_slot_taken() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    placer.place(&mut fleet, asker_at(1), &ask(1), START);
    placer.expire(&mut fleet, START + LEFT);
    assert_eq!(placer.len(), 1, "its end may be on its way");
    placer.expire(&mut fleet, START + LEFT + Millis(1000));
    assert!(placer.is_empty());
    assert_eq!(queued_ms(&mut fleet, START + LEFT + Millis(1000)), 0);
}

/// The placer hasn't heard yet that an engine is leaving, and names it. The instance that asked has: a request
/// that it sent there would be cut. It takes the word for nothing and chooses another one by itself.
#[test]
fn a_place_that_is_known_to_be_leaving_is_not_taken() {
    let mut placing = fleet();
    let mut placer = Placer::default();
    let reply = placer.place(&mut placing, asker_at(1), &ask(1), START);
    let told = place(reply);
    let mut own = fleet();
    for engine in 0..ENGINES {
        let leaving = ServerRecord {
            presence: Presence::Leaving,
            ..record(engine)
        };
        own.list(&leaving, START);
    }
    assert!(own.adopt(&need(), &told, &[], START).is_none());
}

/// An engine's address and name may be another service's in the configuration of the instance that asked. A
/// request must never go to a server of another service, whoever says so.
#[test]
fn a_place_of_another_service_is_not_taken() {
    let mut placing = fleet();
    let mut placer = Placer::default();
    let reply = placer.place(&mut placing, asker_at(1), &ask(1), START);
    let mut own = Fleet::new(FleetSettings::default());
    for engine in 0..ENGINES {
        let other = ServerRecord {
            service: "other".to_owned(),
            ..record(engine)
        };
        own.list(&other, START);
    }
    assert!(own.adopt(&need(), &place(reply), &[], START).is_none());
}

/// What a request waits for is told by the placer alone. Told by the instance that asked, too, each queue
/// would seem twice as long, and requests be refused before half of the engines' time is used.
#[test]
fn what_was_placed_is_told_once() {
    let mut placing = fleet();
    let mut placer = Placer::default();
    let reply = placer.place(&mut placing, asker_at(1), &ask(1), START);
    let mut own = fleet();
    let choice = own.adopt(&need(), &place(reply), &[], START);
    let choice = choice.expect("the engine is there");
    assert!(queued_ms(&mut placing, START) > 0);
    assert_eq!(queued_ms(&mut own, START), 0);
    own.first_byte(&choice, START + Millis(200));
    own.done(&choice, Outcome::Complete, 10, START + Millis(300));
    assert_eq!(queued_ms(&mut own, START + Millis(300)), 0);
}

/// One datagram is lost; the placer is asked again with the next request. Two in a row say that it is gone:
/// each question would cost its caller the wait for nothing, so for half a second nobody asks.
#[test]
fn a_silent_placer_is_left_alone_for_a_while() {
    let mut asker = PlacementClient::new(5);
    let placer = Some(asker_at(9));
    assert!(asker.open(START).is_none(), "nobody places yet");
    assert!(asker.follow(placer));
    assert!(!asker.follow(placer));
    let first = asker.open(START).expect("it is asked");
    assert!(!asker.missed(first, START));
    let second = asker.open(START).expect("one miss tells nothing");
    assert!(asker.missed(second, START + Millis(20)));
    assert!(asker.open(START + Millis(100)).is_none());
    assert!(asker.open(START + Millis(600)).is_some());
    // Another one that places is asked at once.
    let third = asker.open(START + Millis(600)).expect("it is asked again");
    asker.missed(third, START + Millis(600));
    assert!(asker.follow(Some(asker_at(8))));
    assert!(asker.open(START + Millis(600)).is_some());
}

/// A reply comes after the request went elsewhere. It must be known as such, so that the slot that was taken
/// for it is given back; and it tells that the placer lives.
#[test]
fn a_late_reply_is_known() {
    let mut asker = PlacementClient::new(0);
    asker.follow(Some(asker_at(9)));
    let ticket = asker.open(START).expect("it is asked");
    asker.missed(ticket, START + Millis(20));
    assert!(!asker.answered(ticket));
    let next = asker.open(START + Millis(30)).expect("it lives");
    assert!(!asker.missed(next, START + Millis(50)), "one in a row");
}

/// A note that is lost would leave its request in the placer's queue for seconds. Each goes along with the two
/// that come after it, to the same placer only.
#[test]
fn notes_are_told_three_times() {
    let mut asker = PlacementClient::new(0);
    let ticket = |number| PlacementId {
        placer: asker_at(9),
        number,
    };
    let other = PlacementId {
        placer: asker_at(8),
        number: 1,
    };
    let began = UpdateKind::Started(None);
    assert_eq!(asker.note(ticket(1), began), [note(1, began)]);
    assert_eq!(asker.note(other, began), [note(1, began)]);
    let third = asker.note(ticket(2), began);
    assert_eq!(third, [note(1, began), note(2, began)]);
}

/// Bytes from elsewhere are no packet, and packets are read back as they were.
#[test]
fn packets_are_read_back() {
    let packets = [
        Packet::Request(ask(3)),
        Packet::Reply(PlacementReply {
            number: 3,
            verdict: PlacementVerdict::Late {
                wait: Millis(900),
                retry_delay: Millis(400),
            },
        }),
        Packet::Updates(vec![note(3, UpdateKind::Started(Some([1, 2])))]),
    ];
    for packet in packets {
        let bytes = packet.encode();
        assert!(bytes.len() < 200, "{}", bytes.len());
        assert_eq!(Packet::decode(&bytes), Some(packet));
    }
    for bytes in [&b""[..], b"{}", &[0xff; 80]] {
        assert_eq!(Packet::decode(bytes), None);
    }
}
