//! Messages between instances.

use std::sync::Arc;

use crate::identity::Incarnation;
use crate::identity::Instance;
use crate::identity::InstanceId;

/// Number of buckets into which members are divided to compare two views.
pub const BUCKETS: usize = 16;

/// Status of a member. A later variant overrides an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// The member answers.
    Alive,
    /// The member didn't answer a probe, neither directly nor through others.
    Suspect,
    /// The suspicion wasn't refuted in time.
    Dead,
    /// The member left by a planned stop.
    Left,
}

impl Status {
    /// Returns whether a member with this status belongs to the live view.
    pub fn is_live(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }
}

/// An update about a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Update {
    /// The member.
    pub instance: Instance,
    /// The incarnation of the member that the update refers to.
    pub incarnation: Incarnation,
    /// The status.
    pub status: Status,
    /// Hash of the instance that first raised the suspicion, by which independent suspicions are
    /// counted.
    pub origin: u32,
}

/// Data that each message carries in addition to its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gossip {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The revision of the configuration that the sender has in force.
    pub revision: u64,
    /// Digest of the sender's live view; zero if unknown.
    pub view_digest: u64,
    /// Digest of the sender's configuration; zero if unknown.
    pub config_digest: u64,
    /// A bounded number of recent updates.
    pub updates: Vec<Update>,
}

/// SHA-256 of a part's text.
pub type PartHash = [u8; 32];

/// Metadata of a part of the configuration, without its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRef {
    /// The team that owns the part.
    pub team: Arc<str>,
    /// The revision at which it last changed.
    pub revision: u64,
    /// Length of the text.
    pub bytes: u32,
    /// Whether the part was removed.
    pub removed: bool,
    /// Hash of the text.
    pub hash: PartHash,
}

/// Difference of a part's text from that of an earlier revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The team.
    pub team: Arc<str>,
    /// The earlier revision; zero if the difference contains the whole text.
    pub base: u64,
    /// The difference.
    pub delta: Delta,
}

/// A difference between two texts with a common prefix and suffix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Length of the common prefix in bytes.
    pub prefix: u32,
    /// Length of the common suffix in bytes.
    pub suffix: u32,
    /// The bytes between them in the new text.
    pub middle: Vec<u8>,
}

/// The body of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Nothing. An unknown body of a newer version is decoded as this variant.
    None,
    /// Asks the receiver, which should be the named instance, for a [`Body::Ack`].
    Probe(InstanceId),
    /// Answers a probe with the name of the answering instance.
    Ack(InstanceId),
    /// Asks the receiver to probe the named instance.
    Indirect(InstanceId),
    /// Result of a probe on behalf of another member.
    Confirm {
        /// The probed instance.
        target: InstanceId,
        /// Whether it answered.
        alive: bool,
    },
    /// The sender's bucket digests; asks for the members of the buckets that differ.
    Sync(Vec<u64>),
    /// The members of the buckets that differed.
    Members(Vec<Update>),
    /// Asks for the receiver's revision.
    Query,
    /// Announces the revision that the sender has in force.
    Announce(u64),
    /// Asks for the parts that changed after a revision, starting after the team `cursor`.
    PullIndex {
        /// The requester's revision.
        after: u64,
        /// The last team of the previous page; empty for the first page.
        cursor: Arc<str>,
        /// Whether only the list is wanted, without texts.
        bare: bool,
    },
    /// A page of the parts that changed after a revision.
    Changes {
        /// The sender's revision.
        revision: u64,
        /// The revision after which the parts changed.
        after: u64,
        /// The parts, ordered by team.
        parts: Vec<PartRef>,
        /// Cursor of the next page; empty on the last page.
        next: Arc<str>,
        /// The smaller texts, as differences from the texts that the requester should hold.
        pieces: Vec<Piece>,
    },
    /// Asks for a chunk of a part's text.
    PullPart {
        /// The team.
        team: Arc<str>,
        /// The requested revision.
        revision: u64,
        /// Offset of the first requested byte.
        offset: u32,
    },
    /// A chunk of a part's text, at the revision that the sender holds.
    Chunk {
        /// The part; `removed` if the sender doesn't hold it.
        part: PartRef,
        /// Offset of the first byte.
        offset: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

impl Body {
    /// Returns whether the receiver answers this body with one of its own.
    pub fn wants_answer(&self) -> bool {
        matches!(
            self,
            Body::Probe(_)
                | Body::Sync(_)
                | Body::Query
                | Body::PullIndex { .. }
                | Body::PullPart { .. }
        )
    }
}

/// A message between two instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Piggybacked gossip.
    pub gossip: Gossip,
    /// The body.
    pub body: Body,
}
