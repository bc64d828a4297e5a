//! Messages between instances.

use std::sync::Arc;

use crate::identity::Incarnation;
use crate::identity::Instance;
use crate::identity::InstanceId;

/// Buckets into which the members are divided for comparison of two views.
pub const BUCKETS: usize = 16;

/// What is said about a member; a later variant overrules an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// It answers.
    Alive,
    /// It didn't answer a probe, neither directly nor through others.
    Suspect,
    /// The suspicion wasn't refuted in time.
    Dead,
    /// It stopped as planned.
    Left,
}

impl Status {
    /// Whether a member of this status belongs to the live view.
    pub fn is_live(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }
}

/// One statement about one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Update {
    /// The member.
    pub instance: Instance,
    /// The life of the member that the statement is about.
    pub incarnation: Incarnation,
    /// The statement.
    pub status: Status,
    /// Hash of the instance that first suspected; counts independent suspicions.
    pub origin: u32,
}

/// What each message carries besides its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gossip {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The revision of the configuration that the sender has in force.
    pub revision: u64,
    /// Digest of the sender's live view; zero when not known.
    pub view_digest: u64,
    /// Digest of the sender's configuration; zero when not known.
    pub config_digest: u64,
    /// A bounded number of recent updates.
    pub updates: Vec<Update>,
}

/// SHA-256 of a part's text.
pub type PartHash = [u8; 32];

/// A part of the configuration without its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRef {
    /// The team that owns the part.
    pub team: Arc<str>,
    /// The revision at which it last changed.
    pub revision: u64,
    /// Length of the text.
    pub bytes: u32,
    /// The part no longer exists.
    pub removed: bool,
    /// Hash of the text.
    pub hash: PartHash,
}

/// How a part's text differs from that of an earlier revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The team.
    pub team: Arc<str>,
    /// The earlier revision; zero when the middle is the whole text.
    pub base: u64,
    /// The difference.
    pub delta: Delta,
}

/// A difference between two texts that have a start and an end in common.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Bytes in common at the start.
    pub prefix: u32,
    /// Bytes in common at the end.
    pub suffix: u32,
    /// What stands between them in the new text.
    pub middle: Vec<u8>,
}

/// The body of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Nothing; also what an unknown body of a newer version reads as.
    None,
    /// Asks the receiver, which should be the named instance, for an [`Body::Ack`].
    Probe(InstanceId),
    /// Answers a probe with the name of the answering instance.
    Ack(InstanceId),
    /// Asks the receiver to probe the named instance.
    Indirect(InstanceId),
    /// Result of a probe made for another.
    Confirm {
        /// The probed instance.
        target: InstanceId,
        /// Whether it answered.
        alive: bool,
    },
    /// The sender's bucket digests; asks for the members of those that differ.
    Sync(Vec<u64>),
    /// Members of the buckets that differed.
    Members(Vec<Update>),
    /// Asks for the receiver's revision.
    Query,
    /// The sender has the given revision in force.
    Announce(u64),
    /// Asks for the parts that changed after a revision, from the team after `cursor` on.
    PullIndex {
        /// The asker's revision.
        after: u64,
        /// The last team of the previous page; empty for the first page.
        cursor: Arc<str>,
        /// Whether the list alone is wanted, without the texts.
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
        /// Cursor of the next page; empty at the end.
        next: Arc<str>,
        /// The smaller texts among them, as differences from what the asker should hold.
        pieces: Vec<Piece>,
    },
    /// Asks for a piece of a part's text.
    PullPart {
        /// The team.
        team: Arc<str>,
        /// The revision wanted.
        revision: u64,
        /// First byte wanted.
        offset: u32,
    },
    /// A piece of a part's text, at the revision that the sender has.
    Chunk {
        /// The part; `removed` when the sender doesn't hold it.
        part: PartRef,
        /// First byte.
        offset: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

impl Body {
    /// Whether the receiver answers this body with one of its own.
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
    /// Piggybacked knowledge.
    pub gossip: Gossip,
    /// The body.
    pub body: Body,
}
