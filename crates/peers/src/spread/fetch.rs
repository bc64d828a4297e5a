//! Fetches of changed parts from the platform or from a peer.

use std::sync::Arc;

use crocushold_base::Millis;

use crate::identity::InstanceId;
use crate::message::PartRef;
use crate::message::Piece;
use crate::spread::store::Part;

/// Maximum number of bytes of text in one message.
pub(super) const CHUNK_BYTES: usize = 128 << 10;

/// Number of answers older than the index after which a fetch is abandoned.
pub(super) const MAX_STALE_ANSWERS: u32 = 3;

/// Source of a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Platform,
    Peer(InstanceId),
}

/// A part to fetch. Its hash isn't known if the platform listed it.
#[derive(Clone, Debug)]
pub(super) struct WantedPart {
    pub(super) team: Arc<str>,
    pub(super) revision: u64,
}

/// A partially received text.
#[derive(Debug, Default)]
pub(super) struct Partial {
    pub(super) head: Option<PartRef>,
    pub(super) bytes: Vec<u8>,
}

/// A fetch. It reads the pages of the list first and then the parts one by one; all of them are put
/// in force at once.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) source: Source,
    pub(super) revision: u64,
    pub(super) after: u64,
    pub(super) listed: Vec<PartRef>,
    pub(super) pieces: Vec<Piece>,
    pub(super) cursor: Arc<str>,
    pub(super) wanted: Vec<WantedPart>,
    pub(super) staged: Vec<Part>,
    pub(super) partial: Partial,
    pub(super) asked_at: Option<Millis>,
    pub(super) stale_answers: u32,
    pub(super) list_complete: bool,
}

impl Fetch {
    pub(super) fn new(source: Source, revision: u64, after: u64) -> Fetch {
        Fetch {
            source,
            revision,
            after,
            listed: Vec::new(),
            pieces: Vec::new(),
            cursor: Arc::from(""),
            wanted: Vec::new(),
            staged: Vec::new(),
            partial: Partial::default(),
            asked_at: None,
            stale_answers: 0,
            list_complete: false,
        }
    }

    /// Returns whether the fetch reads from `peer`.
    pub(super) fn is_from(&self, peer: &InstanceId) -> bool {
        matches!(&self.source, Source::Peer(id) if id == peer)
    }

    /// Restarts reading the list, as the peer's revision changed between two pages.
    pub(super) fn restart(&mut self, revision: u64) {
        self.revision = revision;
        self.listed.clear();
        self.pieces.clear();
        self.cursor = Arc::from("");
    }

    /// Resumes a text that an earlier fetch received partially.
    pub(super) fn resume(&mut self, partial: Partial) {
        let Some(head) = &partial.head else {
            return;
        };
        let wanted = self.wanted.iter().position(|want| want.team == head.team);
        if let Some(at) = wanted {
            self.wanted.swap(0, at);
            self.partial = partial;
        }
    }

    /// Skips a wanted part.
    pub(super) fn skip(&mut self, team: &str) {
        self.wanted.retain(|want| *want.team != *team);
        self.partial = Partial::default();
        self.asked_at = None;
    }

    /// Stages the part that was requested.
    pub(super) fn stage(&mut self, part: Part) {
        self.skip(&part.head.team.clone());
        self.staged.push(part);
    }
}
