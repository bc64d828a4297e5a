//! Tests of placement requests and of the placer with lost, late and duplicate datagrams, and with
//! instances that have crashed.

#[path = "common/engines.rs"]
mod engines;

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::Fleet;
use crocushold_gateway::FleetSettings;
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
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use serde::Deserialize;
use test_case::test_case;

use engines::engine;

const ENGINES: u8 = 3;
const SLOTS: u32 = 4;
const LEFT: Millis = Millis(6000);
const START: Millis = Millis(10_000);

fn peer_at(number: u8) -> SocketAddr {
    ([10, 0, 1, number], 7340).into()
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(FleetSettings::default());
    for number in 0..ENGINES {
        fleet.list(&engine(number, SLOTS), START);
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

fn request(number: u32) -> PlacementRequest {
    PlacementRequest {
        number,
        zone: "here".to_owned(),
        remaining: LEFT,
        tried: Vec::new(),
        need: need(),
        resting: Vec::new(),
        line: None,
    }
}

fn place(reply: PlacementReply) -> Placement {
    match reply.verdict {
        PlacementVerdict::Placed(place) => place,
        other => panic!("not placed: {other:?}"),
    }
}

fn ended(tokens: u32) -> UpdateKind {
    UpdateKind::Ended(RequestEnd {
        result: Outcome::Complete,
        tokens,
        pause: None,
    })
}

fn update(number: u32, kind: UpdateKind) -> RequestUpdate {
    RequestUpdate { number, kind }
}

/// Queues reported for all engines, in milliseconds of prefill.
fn queued_ms(fleet: &mut Fleet, now: Millis) -> u32 {
    let load = fleet.local_load(now);
    load.queues.iter().map(|entry| entry.read_ms).sum()
}

/// Three instances request placements within a millisecond. Each alone would see three idle
/// engines. The placer accounts for earlier placements, so each prompt gets its own engine.
#[test]
fn simultaneous_requests_go_to_different_engines() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    let replies = (0..ENGINES).map(|number| {
        let reply = placer.place(&mut fleet, peer_at(number), &request(1), START);
        place(reply).engine
    });
    let mut engines: Vec<u32> = replies.collect();
    engines.sort_unstable();
    engines.dedup();
    assert_eq!(engines.len(), usize::from(ENGINES));
}

/// The network duplicates a placement request. The caller's request runs once, so it must take a
/// single slot, and both replies must be the same.
#[test]
fn a_duplicate_placement_request_takes_one_slot() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    let first = placer.place(&mut fleet, peer_at(1), &request(1), START);
    let before = queued_ms(&mut fleet, START);
    let second = placer.place(&mut fleet, peer_at(1), &request(1), START + Millis(1));
    assert_eq!(first, second);
    assert_eq!(queued_ms(&mut fleet, START), before);
    assert_eq!(placer.len(), 1);
}

/// Two instances may use the same number for different requests.
#[test]
fn numbers_are_scoped_to_their_instance() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    placer.place(&mut fleet, peer_at(1), &request(7), START);
    placer.place(&mut fleet, peer_at(2), &request(7), START);
    placer.apply_update(&mut fleet, peer_at(1), update(7, ended(10)), START);
    assert_eq!(placer.len(), 1);
}

/// Updates are sent several times, and that of the start may arrive after that of the end. Each
/// must count once, and at the end no slot may be taken.
#[test]
fn updates_may_be_duplicated_and_reordered() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    placer.place(&mut fleet, peer_at(1), &request(1), START);
    let began = update(1, UpdateKind::Started(Some([3, 0])));
    let paced = update(1, UpdateKind::StartedAtPace([3, 0], 250));
    let ended = update(1, ended(10));
    for update in [began, paced, began, ended, paced, began, ended] {
        placer.apply_update(&mut fleet, peer_at(1), update, START + Millis(200));
    }
    assert!(placer.is_empty());
    assert_eq!(queued_ms(&mut fleet, START + Millis(200)), 0);
}

/// An instance loses power and sends no more updates. The engine must not appear busy forever: its
/// slot is released soon after the deadline of the request.
#[test]
fn slots_of_a_failed_instance_are_released() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    placer.place(&mut fleet, peer_at(1), &request(1), START);
    placer.expire(&mut fleet, START + LEFT);
    assert_eq!(placer.len(), 1, "the update of its end may still arrive");
    placer.expire(&mut fleet, START + LEFT + Millis(1000));
    assert!(placer.is_empty());
    assert_eq!(queued_ms(&mut fleet, START + LEFT + Millis(1000)), 0);
}

/// The placer doesn't know yet that an engine is draining and chooses it. The instance that asked
/// does know, and a request sent there would be cut, so it discards the placement and chooses an
/// engine itself.
#[test]
fn a_placement_on_a_draining_engine_is_rejected() {
    let mut placing = fleet();
    let mut placer = Placer::default();
    let reply = placer.place(&mut placing, peer_at(1), &request(1), START);
    let placement = place(reply);
    let mut own = fleet();
    for number in 0..ENGINES {
        let leaving = ServerRecord {
            presence: Presence::Leaving,
            ..engine(number, SLOTS)
        };
        own.list(&leaving, START);
    }
    assert!(own.adopt(&need(), &placement, &[], START).is_none());
}

/// In the configuration of the instance that asked, the engine's name may belong to another
/// service. A request must never be sent to a server of another service, whatever the placer says.
#[test]
fn a_placement_on_another_service_is_rejected() {
    let mut placing = fleet();
    let mut placer = Placer::default();
    let reply = placer.place(&mut placing, peer_at(1), &request(1), START);
    let mut own = Fleet::new(FleetSettings::default());
    for number in 0..ENGINES {
        let other = ServerRecord {
            service: "other".to_owned(),
            ..engine(number, SLOTS)
        };
        own.list(&other, START);
    }
    assert!(own.adopt(&need(), &place(reply), &[], START).is_none());
}

/// The load of a placed request is reported by the placer only. If the instance that asked reported
/// it as well, each queue would appear twice as long, and requests would be refused while half of
/// the engines' time is unused.
#[test]
fn placed_load_is_reported_once() {
    let mut placing = fleet();
    let mut placer = Placer::default();
    let reply = placer.place(&mut placing, peer_at(1), &request(1), START);
    let mut own = fleet();
    let choice = own.adopt(&need(), &place(reply), &[], START);
    let choice = choice.expect("the engine is listed");
    assert!(queued_ms(&mut placing, START) > 0);
    assert_eq!(queued_ms(&mut own, START), 0);
    own.first_byte(&choice, START + Millis(200));
    own.done(&choice, Outcome::Complete, 10, START + Millis(300));
    assert_eq!(queued_ms(&mut own, START + Millis(300)), 0);
}

/// After one lost datagram the placer is asked again with the next request. Two in a row indicate
/// that it is gone. Further requests would only delay their callers, so it isn't asked for half a
/// second.
#[test]
fn an_unresponsive_placer_is_not_asked_for_a_while() {
    let mut asker = PlacementClient::new(5);
    let placer = Some(peer_at(9));
    assert!(asker.start(START).is_none(), "there is no placer yet");
    assert!(asker.set_placer(placer));
    assert!(!asker.set_placer(placer));
    let first = asker.start(START).expect("the placer is asked");
    assert!(!asker.time_out(first, START));
    let second = asker.start(START).expect("a single timeout is tolerated");
    assert!(asker.time_out(second, START + Millis(20)));
    assert!(asker.start(START + Millis(100)).is_none());
    assert!(asker.start(START + Millis(600)).is_some());
    // A new placer is asked at once.
    let third = asker
        .start(START + Millis(600))
        .expect("the placer is asked again");
    asker.time_out(third, START + Millis(600));
    assert!(asker.set_placer(Some(peer_at(8))));
    assert!(asker.start(START + Millis(600)).is_some());
}

/// A reply arrives after the request was sent elsewhere. It must be recognized as late, so that its
/// slot is released, and it shows that the placer is alive.
#[test]
fn a_late_reply_is_recognized() {
    let mut asker = PlacementClient::new(0);
    asker.set_placer(Some(peer_at(9)));
    let placement_id = asker.start(START).expect("the placer is asked");
    asker.time_out(placement_id, START + Millis(20));
    assert!(!asker.complete(placement_id));
    let next = asker.start(START + Millis(30)).expect("the placer replied");
    assert!(
        !asker.time_out(next, START + Millis(50)),
        "the first timeout in a row"
    );
}

/// A lost update would leave its request in the placer's queue for seconds. Each update is
/// therefore repeated with the next two, to the same placer only.
#[test]
fn updates_are_sent_three_times() {
    let mut asker = PlacementClient::new(0);
    let placement_id = |number| PlacementId {
        placer: peer_at(9),
        number,
    };
    let other = PlacementId {
        placer: peer_at(8),
        number: 1,
    };
    let began = UpdateKind::Started(None);
    assert_eq!(
        asker.record_update(placement_id(1), began),
        [update(1, began)]
    );
    assert_eq!(asker.record_update(other, began), [update(1, began)]);
    let third = asker.record_update(placement_id(2), began);
    assert_eq!(third, [update(1, began), update(2, began)]);
}

/// Packets survive encoding and decoding, and invalid bytes are rejected.
#[test]
fn packets_survive_encoding() {
    let packets = [
        Packet::Request(request(3)),
        Packet::Reply(PlacementReply {
            number: 3,
            verdict: PlacementVerdict::Late {
                wait: Millis(900),
                retry_delay: Millis(400),
            },
        }),
        Packet::Updates(vec![update(3, UpdateKind::Started(Some([1, 2])))]),
        Packet::Updates(vec![update(3, UpdateKind::StartedAtPace([1, 2], 250))]),
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

/// An update of an instance of the earlier version is decoded as before, since instances of two
/// versions run side by side during a release.
#[test]
fn updates_of_the_earlier_version_are_decoded() {
    let started = UpdateKind::Started(Some([1, 2]));
    // The number of the packet's kind, of updates, of the request, of the update's kind, and the
    // report.
    let bytes = [3, 1, 7, 0, 1, 1, 2];
    let packet = Packet::Updates(vec![update(7, started)]);
    assert_eq!(Packet::decode(&bytes), Some(packet.clone()));
    assert_eq!(packet.encode(), bytes);
}

/// The packets of the version before paces, up to the updates.
#[derive(Debug, PartialEq, Deserialize)]
enum EarlierPacket {
    Gossip,
    Request,
    Reply,
    Updates(Vec<EarlierUpdate>),
}

#[derive(Debug, PartialEq, Deserialize)]
struct EarlierUpdate {
    number: u32,
    kind: EarlierKind,
}

#[derive(Debug, PartialEq, Deserialize)]
enum EarlierKind {
    Started(Option<[u32; 2]>),
    Ended(RequestEnd),
}

/// Guards against updates with a pace that a placer of the version before can't decode during a release: it
/// would take the slots of these requests, and of those whose ends are in the same packet, for used until their
/// deadlines.
#[test]
fn updates_with_a_pace_are_decoded_by_the_earlier_version() {
    let paced = [
        UpdateKind::StartedAtPace([1, 2], 250),
        ended(10),
        UpdateKind::StartedAtPace([3, 0], 80),
    ];
    let bytes = Packet::Updates(paced.map(|kind| update(7, kind)).to_vec()).encode();
    let UpdateKind::Ended(end) = ended(10) else {
        unreachable!("it is an end");
    };
    let kinds = [
        EarlierKind::Started(Some([1, 2])),
        EarlierKind::Ended(end),
        EarlierKind::Started(Some([3, 0])),
    ];
    let number = 7;
    let updates = kinds.map(|kind| EarlierUpdate { number, kind });
    let decoded: EarlierPacket = postcard::from_bytes(&bytes).expect("the format is known");
    assert_eq!(decoded, EarlierPacket::Updates(updates.into()));
}

/// Guards against losing the paces, or the slots, that the one version which sent paces as a variant of
/// their own tells the placer during the next release.
#[test]
fn paces_of_the_version_between_are_decoded() {
    let bytes = [3, 1, 7, 2, 1, 2, 0xfa, 1];
    let packet = Packet::Updates(vec![update(7, UpdateKind::StartedAtPace([1, 2], 250))]);
    assert_eq!(Packet::decode(&bytes), Some(packet));
}

/// Guards against ends that a placer of the version before can't decode, because the server asked for rest:
/// it would take their slots for used until the deadlines.
#[test]
fn rests_are_overload_to_the_earlier_version() {
    let end = |result| {
        let end = unreachable(7, result);
        Packet::Updates(vec![update(6, ended(10)), end])
    };
    let (resting, overloaded) = (end(Outcome::Resting), end(Outcome::Overloaded));
    let bytes = resting.encode();
    assert!(bytes.starts_with(&overloaded.encode()));
    assert_eq!(Packet::decode(&bytes), Some(resting));
}

/// Guards against updates that are lost with their trailer: one that is cut, of a later version, or about
/// updates that aren't there, or have no load, is ignored.
#[test_case(&[]; "none")]
#[test_case(&[2, 0]; "cut")]
#[test_case(&[0xff; 20]; "unknown")]
#[test_case(&[1, 9, 0xfa, 1, 0]; "another_update")]
#[test_case(&[1, 1, 0xfa, 1, 0]; "an_update_without_load")]
#[test_case(&[0, 2, 0, 9]; "rests_of_others")]
fn updates_are_used_without_their_trailer(trailer: &[u8]) {
    let updates = [UpdateKind::Started(Some([1, 2])), UpdateKind::Started(None)];
    let packet = Packet::Updates(updates.map(|kind| update(7, kind)).to_vec());
    let bytes = [&packet.encode(), trailer].concat();
    assert_eq!(Packet::decode(&bytes), Some(packet));
}

/// The pace that an engine reports with an answer is told along with its load, and otherwise the
/// update is that of the earlier version.
#[test]
fn the_pace_of_an_engine_is_told_with_its_load() {
    let load = LoadReport {
        running: 3,
        waiting: 1,
        ..LoadReport::default()
    };
    assert_eq!(UpdateKind::started(None), UpdateKind::Started(None));
    assert_eq!(
        UpdateKind::started(Some(load)),
        UpdateKind::Started(Some([3, 1]))
    );
    let slow = LoadReport {
        work_percent: Some(250),
        ..load
    };
    assert_eq!(
        UpdateKind::started(Some(slow)),
        UpdateKind::StartedAtPace([3, 1], 250)
    );
}

fn unreachable(number: u32, result: Outcome) -> RequestUpdate {
    let ended = RequestEnd {
        result,
        tokens: 0,
        pause: None,
    };
    update(number, UpdateKind::Ended(ended))
}

/// Places as many requests as there are engines for an instance that can't connect to any of them,
/// and applies the results of the probes.
fn report_unreachable(
    fleet: &mut Fleet,
    placer: &mut Placer,
    result: Outcome,
    is_reachable: bool,
) -> usize {
    let mut probes = Vec::new();
    for number in 0..u32::from(ENGINES) {
        place(placer.place(fleet, peer_at(1), &request(number), START));
        probes.extend(placer.apply_update(fleet, peer_at(1), unreachable(number, result), START));
    }
    for probe in &probes {
        placer.record_probe(fleet, probe.server, is_reachable, START);
    }
    probes.len()
}

/// Guards against an instance without a path to the servers, whose failures make the placer take
/// sound engines out of use for all.
#[test_case(Outcome::Refused; "refused connections")]
#[test_case(Outcome::Unreachable; "connections without an answer")]
fn an_instance_without_a_path_takes_no_engine_from_the_others(result: Outcome) {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    let probes = report_unreachable(&mut fleet, &mut placer, result, true);
    assert!(probes > 0, "the engines are probed");
    assert!(fleet.take_ejections().is_empty());
    for number in 10..10 + u32::from(ENGINES) {
        place(placer.place(&mut fleet, peer_at(2), &request(number), START));
    }
}

/// Guards against a placer that goes on to choose an engine that has ended.
#[test]
fn engines_that_the_placer_cannot_reach_either_are_ejected() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    report_unreachable(&mut fleet, &mut placer, Outcome::Refused, false);
    assert!(!fleet.take_ejections().is_empty());
}

/// Guards against slots that stay taken by requests whose connections failed.
#[test]
fn failed_connections_release_their_slots() {
    let mut fleet = fleet();
    let mut placer = Placer::default();
    report_unreachable(&mut fleet, &mut placer, Outcome::Unreachable, true);
    assert!(placer.is_empty());
    assert_eq!(queued_ms(&mut fleet, START), 0);
}
