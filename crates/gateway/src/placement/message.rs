//! What an instance and the placer tell each other.

use crocushold_base::Millis;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::Suspicion;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Need;
use crate::gossip::Message;

/// All that instances send each other, as one datagram each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// What the sender and others have.
    Gossip(Message),
    /// Where should a request go?
    Request(PlacementRequest),
    /// There.
    Reply(PlacementReply),
    /// What became of requests that the receiver placed, the latest last.
    Updates(Vec<RequestUpdate>),
    /// Requests under which servers ended.
    Suspicions(Vec<Suspicion>),
}

impl Packet {
    /// The packet as bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("numbers, names and addresses always serialise")
    }

    /// Reads a packet; `None` for one that isn't.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The question where a request should go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The sender's number of the question, by which the reply and the notes are known.
    pub number: u32,
    /// The sender's availability zone.
    pub zone: String,
    /// How long the request has left.
    pub remaining: Millis,
    /// Engines that it was sent to already, by hashes of their identities.
    pub tried: Vec<u32>,
    /// What it needs.
    pub need: Need,
}

/// An engine that was chosen for a request of another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// A hash of the engine's identity.
    pub engine: u32,
    /// The same of the engine from which it should bring the shared part of the prompt.
    pub source: Option<u32>,
    /// How long the request is expected to wait there.
    pub wait: Millis,
    /// Tokens of the prompt that the engine is expected to read.
    pub read: u32,
}

/// What the placer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementVerdict {
    /// The request goes there.
    Placed(Placement),
    /// At every engine it would wait for longer than its answer is of use.
    Late {
        /// How long at the best one.
        wait: Millis,
        /// When to come back.
        retry_delay: Millis,
    },
    /// The placer knows no server for it.
    Unable,
}

/// The answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementReply {
    /// The number of the question.
    pub number: u32,
    /// What the placer says.
    pub verdict: PlacementVerdict,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestUpdate {
    /// The number of the question.
    pub number: u32,
    /// What happened.
    pub kind: UpdateKind,
}

/// What happened to a request that was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateKind {
    /// Its answer has begun; with how many requests the engine had then, running and waiting, where it told.
    Started(Option<[u32; 2]>),
    /// It has ended.
    Ended(RequestEnd),
}

/// How a request that was placed has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEnd {
    /// How.
    pub outcome: Outcome,
    /// After how many tokens.
    pub tokens: u32,
    /// The longest pause of its stream, where that is known.
    pub pause: Option<Millis>,
}

impl UpdateKind {
    /// The answer began, with what the engine told of its load.
    pub fn started(load: Option<LoadReport>) -> UpdateKind {
        UpdateKind::Started(load.map(|load| [load.running, load.waiting]))
    }
}
