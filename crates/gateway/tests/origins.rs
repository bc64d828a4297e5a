//! The origins of streams, and which instances hold them.

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::LatestSoftware;
use crocushold_gateway::Origins;
use crocushold_gateway::Packet;
use crocushold_gateway::SeenSoftware;
use crocushold_gateway::StreamKey;
use crocushold_gateway::StreamOrigin;
use crocushold_gateway::holders;
use crocushold_routing::SoftwareKey;

const START: Millis = Millis(1000);

/// Time for which an origin is kept beyond the deadline of its stream.
const GRACE: Millis = Millis(5000);

fn origin(attempt: &str, software: &str) -> StreamOrigin {
    StreamOrigin {
        key: StreamKey::new(Some("account"), attempt),
        software: SoftwareKey::new(software),
        remaining: Millis(2000),
    }
}

fn members(count: u8) -> Vec<SocketAddr> {
    let hosts = (1..=count).map(|number| SocketAddr::from(([10, 0, 0, number], 7300)));
    hosts.collect()
}

/// Guards against an origin that is forgotten while its stream may be taken up, or kept for ever.
#[test]
fn an_origin_is_known_as_long_as_its_stream_may_be_taken_up() {
    let mut origins = Origins::default();
    let first = origin("a", "v1");
    origins.record(first, START);
    let last = START + first.remaining + GRACE;
    let before = Millis(last.0 - 1);
    assert_eq!(origins.software(first.key, before), Some(first.software));
    assert_eq!(origins.software(first.key, last), None);
    origins.record(first, START + Millis(500));
    assert_eq!(origins.software(first.key, last), Some(first.software));
    origins.expire(last + Millis(500));
    assert!(origins.is_empty());
}

/// Guards against choosing one of two versions for a name that a caller has used twice.
#[test]
fn a_name_with_two_origins_has_none() {
    let mut origins = Origins::default();
    origins.record(origin("a", "v1"), START);
    origins.record(origin("a", "v2"), START);
    origins.record(origin("a", "v1"), START);
    assert_eq!(origins.software(origin("a", "v1").key, START), None);
    let other = StreamKey::new(Some("another"), "a");
    assert_ne!(other, origin("a", "v1").key);
}

/// Guards against a flood of streams that fills the memory.
#[test]
fn the_number_of_origins_is_bounded() {
    let mut origins = Origins::default();
    for number in 0..40_000 {
        origins.record(origin(&number.to_string(), "v1"), START);
    }
    assert_eq!(origins.len(), 32 * 1024);
    let newest = origin("39999", "v1");
    assert_eq!(origins.software(newest.key, START), Some(newest.software));
    assert_eq!(origins.software(origin("0", "v1").key, START), None);
}

/// Guards against holders that an instance with other members can't work out: the one that takes a
/// stream up asks five, and the one that began it has told two.
#[test]
fn instances_that_know_other_members_agree_on_the_holders() {
    let all = members(12);
    for stream in 0..200 {
        let key = StreamKey::new(None, &stream.to_string());
        let told = holders(key, &all, 2);
        assert_eq!(told.len(), 2);
        for missing in 0..all.len() {
            let mut known = all.clone();
            let missing = known.remove(missing);
            let asked = holders(key, &known, 5);
            let reached = told
                .iter()
                .all(|holder| *holder == missing || asked.contains(holder));
            assert!(reached, "stream {stream}");
        }
    }
}

/// Guards against holders that are always the same: an instance would hold the streams of all.
#[test]
fn streams_are_held_by_all_members() {
    let all = members(10);
    let mut held = vec![0; all.len()];
    for stream in 0..1000 {
        let key = StreamKey::new(None, &stream.to_string());
        for holder in holders(key, &all, 2) {
            held[all.iter().position(|member| *member == holder).unwrap()] += 1;
        }
    }
    assert!(
        held.iter().all(|count| (120..280).contains(count)),
        "{held:?}"
    );
}

/// Guards against messages that exceed what an instance may spend on control.
#[test]
fn an_origin_takes_few_bytes() {
    let bytes = Packet::Origin(origin("a", "v1")).encode();
    assert!(bytes.len() <= 24, "{}", bytes.len());
    assert_eq!(
        Packet::decode(&bytes),
        Some(Packet::Origin(origin("a", "v1")))
    );
}

/// Guards against a version that is taken for the only one although an instance has seen another, or
/// none has seen all of the time.
#[test]
fn the_only_version_is_one_that_nobody_contradicts() {
    let span = Millis(5000);
    let seen = |contact, software: Option<&str>, alone| SeenSoftware {
        span,
        contact: Millis(contact),
        latest: LatestSoftware {
            software: software.map(SoftwareKey::new),
            alone,
        },
    };
    let only = |all: &[SeenSoftware]| SeenSoftware::only_version(all);
    let complete = seen(6000, Some("v1"), Millis::MAX);
    assert_eq!(only(&[complete]), Some(SoftwareKey::new("v1")));
    let young = seen(5000, Some("v1"), Millis::MAX);
    assert_eq!(only(&[young, complete]), only(&[complete]));
    let blind = SeenSoftware::default();
    assert_eq!(only(&[blind, complete]), only(&[complete]));
    assert_eq!(only(&[]), None);
    assert_eq!(only(&[young]), None);
    assert_eq!(only(&[blind]), None);
    for contact in [0, 5000, 6000] {
        let contradictions = [
            seen(contact, Some("v2"), Millis::MAX),
            seen(contact, Some("v1"), Millis::ZERO),
            seen(contact, Some("v1"), span),
        ];
        for other in contradictions {
            assert_eq!(only(&[other, complete]), None, "{other:?}");
            assert_eq!(only(&[complete, other]), None, "{other:?}");
        }
    }
    let left_before = seen(6000, Some("v1"), Millis(5001));
    assert_eq!(only(&[left_before, complete]), only(&[complete]));
    let empty = seen(6000, None, Millis::ZERO);
    assert_eq!(only(&[empty]), None);
    assert_eq!(only(&[complete, empty]), None);
}

/// Guards against a version that is taken for the only one by an instance that doesn't know how long
/// callers hold streams, while another one knows.
#[test]
fn the_longest_known_time_decides_which_version_is_the_only_one() {
    let latest = LatestSoftware {
        software: Some(SoftwareKey::new("v1")),
        alone: Millis(8000),
    };
    let seen = |span, contact| SeenSoftware {
        span: Millis(span),
        contact: Millis(contact),
        latest,
    };
    let only = |all: &[SeenSoftware]| SeenSoftware::only_version(all);
    assert_eq!(only(&[seen(1000, 5000)]), latest.software);
    assert_eq!(only(&[seen(1000, 5000), seen(6000, 0)]), None);
    assert_eq!(only(&[seen(1000, 7000), seen(6000, 0)]), latest.software);
    // Another version has served in that time.
    assert_eq!(only(&[seen(1000, 10_000), seen(9000, 0)]), None);
}

/// Guards against a time that is forgotten while callers still hold streams for so long, and against one
/// that counts for ever because a single caller has named it.
#[test]
fn the_time_for_which_callers_hold_streams_is_known_for_an_hour_or_two() {
    let hour = 3_600_000;
    let mut origins = Origins::default();
    assert_eq!(origins.longest_span(START), Millis::ZERO);
    origins.record_span(Millis(20_000), START);
    origins.record(origin("a", "v1"), START);
    assert_eq!(origins.longest_span(START), Millis(20_000));
    let last = START + Millis(hour);
    origins.record_span(Millis(3000), last);
    assert_eq!(origins.longest_span(last), Millis(20_000));
    let late = last + Millis(hour);
    assert_eq!(origins.longest_span(late), Millis(3000));
    assert_eq!(origins.longest_span(late + Millis(2 * hour)), Millis::ZERO);
    origins.record(origin("b", "v1"), late);
    assert_eq!(origins.longest_span(late), origin("b", "v1").remaining);
    origins.record_span(Millis::MAX, late);
    assert_eq!(origins.longest_span(late), Millis(hour));
}
