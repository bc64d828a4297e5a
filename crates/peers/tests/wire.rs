//! Tests of the encoding between protocol versions.

use std::net::SocketAddr;
use std::sync::Arc;

use crocushold_peers::Body;
use crocushold_peers::Delta;
use crocushold_peers::Gossip;
use crocushold_peers::Incarnation;
use crocushold_peers::Instance;
use crocushold_peers::InstanceId;
use crocushold_peers::Message;
use crocushold_peers::NEWEST_VERSION;
use crocushold_peers::PartRef;
use crocushold_peers::Piece;
use crocushold_peers::Status;
use crocushold_peers::Update;
use crocushold_peers::decode;
use crocushold_peers::encode;
use proptest::prelude::any;
use proptest::proptest;
use test_case::test_case;

/// Offset of the body's discriminant, after the segment table and the root pointer.
const DISCRIMINANT: usize = 16;

fn update(status: Status) -> Update {
    Update {
        instance: Instance::new("entry-2", SocketAddr::from(([10, 0, 0, 1], 7)), "stgo-a"),
        incarnation: Incarnation {
            start: 77,
            counter: 3,
        },
        status,
        origin: 5,
    }
}

fn part() -> PartRef {
    PartRef {
        team: Arc::from("clara"),
        revision: 9,
        bytes: 4,
        removed: false,
        hash: [7; 32],
    }
}

fn message(body: Body) -> Message {
    let gossip = Gossip {
        incarnation: Incarnation::starting(4),
        revision: 8,
        view_digest: 2,
        config_digest: 3,
        updates: vec![update(Status::Suspect), update(Status::Left)],
    };
    Message { gossip, body }
}

fn changes() -> Body {
    Body::Changes {
        revision: 9,
        after: 8,
        parts: vec![part()],
        next: Arc::from("clara"),
        pieces: vec![Piece {
            team: Arc::from("clara"),
            base: 8,
            delta: Delta::between("abcd", "abxd"),
        }],
    }
}

#[test_case(Body::None)]
#[test_case(Body::Probe(InstanceId::new("a")))]
#[test_case(Body::Ack(InstanceId::new("a")))]
#[test_case(Body::Indirect(InstanceId::new("a")))]
#[test_case(Body::Confirm { target: InstanceId::new("a"), alive: true })]
#[test_case(Body::Sync(vec![1; 16]))]
#[test_case(Body::Members(vec![update(Status::Alive), update(Status::Dead)]))]
#[test_case(Body::Query)]
#[test_case(Body::Announce(12))]
#[test_case(Body::PullIndex { after: 3, cursor: Arc::from("clara"), bare: true })]
#[test_case(changes())]
#[test_case(Body::PullPart { team: Arc::from("clara"), revision: 9, offset: 4 })]
#[test_case(Body::Chunk { part: part(), offset: 1, bytes: vec![1, 2] })]
fn each_body_is_read_as_it_was_written(body: Body) {
    let written = message(body);
    let read = decode(&encode(&written, NEWEST_VERSION)).expect("just encoded");
    assert_eq!(read, written);
}

#[test]
fn the_first_version_leaves_out_what_came_later() {
    let read = decode(&encode(&message(changes()), 1)).unwrap();
    assert_eq!(read.gossip.view_digest, 0);
    assert_eq!(read.gossip.config_digest, 0);
    let Body::Changes { parts, pieces, .. } = read.body else {
        panic!("unexpected body");
    };
    assert_eq!(parts, vec![part()]);
    assert!(pieces.is_empty());
}

/// A newer program sends a body that this one doesn't know. The known fields of the message are
/// used and the body is ignored; an error would close the connection during an upgrade.
#[test]
fn an_unknown_body_reads_as_none() {
    let mut bytes = encode(&message(Body::Query), NEWEST_VERSION);
    bytes[DISCRIMINANT..DISCRIMINANT + 2].copy_from_slice(&99_u16.to_le_bytes());
    let read = decode(&bytes).unwrap();
    assert_eq!(read.body, Body::None);
    assert_eq!(read.gossip.revision, 8);
}

proptest! {
    #[test]
    fn damaged_bytes_never_panic(at in 0_usize..400, byte in any::<u8>(), cut in 0_usize..400) {
        let mut bytes = encode(&message(changes()), NEWEST_VERSION);
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = decode(&bytes);
        bytes.truncate(cut);
        let _ = decode(&bytes);
    }
}
