//! Dissemination of the configuration to all instances.
//!
//! [`Spread`] is a pure state machine. A few instances of each zone watch the platform; changes are
//! announced from peer to peer, and an instance that is behind pulls the changed parts from one
//! that is ahead. Revisions only increase, both for each part and for the whole configuration.

mod budget;
mod delta;
mod fetch;
mod peers;
mod platform;
mod settings;
mod start;
mod store;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crocushold_base::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::identity::InstanceId;
use crate::message::Body;
use crate::spread::budget::Budget;
use crate::spread::fetch::Fetch;
use crate::spread::fetch::Partial;
use crate::spread::fetch::Source;
use crate::spread::platform::IndexReader;
use crate::spread::start::Start;

pub use platform::Index;
pub use platform::IndexEntry;
pub use platform::PartText;
pub use platform::PlatformRead;
pub use platform::ReadFailed;
pub use settings::SpreadSettings;
pub use store::Conflict;
pub use store::Part;
pub use store::Snapshot;
pub use store::part_hash;

/// Number of conflicts that are remembered so that each is reported once.
const MAX_CONFLICTS: usize = 64;

/// Number of consecutive late answers after which the answer timeout doubles. With fewer, a few
/// lost messages would be taken for slow peers.
const LATE_ANSWERS_PER_DOUBLING: u32 = 4;

/// An action that the embedder must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadAction {
    /// Send a message to a peer.
    Send(InstanceId, Body),
    /// Answer the message that is being processed.
    Reply(Body),
    /// Announce the revision to the neighbours whose revision is lower.
    Announce(u64),
    /// Query the revisions of this number of live peers.
    Query(usize),
    /// Read the index of the configuration.
    ReadIndex,
    /// Read the index of the configuration once its revision exceeds `after`, or after `wait`.
    WatchIndex {
        /// The known revision.
        after: u64,
        /// The maximum time to wait.
        wait: Millis,
    },
    /// Read a part's text.
    ReadPart(Arc<str>),
    /// The configuration in force has changed to this one.
    InForce(Snapshot),
    /// Report a finding to the operator.
    Report(SpreadFinding),
}

/// A finding about the configuration, reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadFinding {
    /// The platform returned an older revision than the one in force.
    PlatformBehind {
        /// The platform's revision.
        platform: u64,
        /// The revision in force.
        held: u64,
    },
    /// The platform can't be read.
    PlatformDown,
    /// Two different texts have the same team and revision; the one in force stays.
    Conflict(Conflict),
    /// A peer sent a text that doesn't match its hash.
    Corrupt(InstanceId),
    /// A part or the whole configuration exceeds the size limit and isn't applied.
    TooLarge(Arc<str>),
    /// The platform lists a part but doesn't return its text; the others are put in force without
    /// it.
    Unread(Arc<str>),
}

/// Number of consecutive failures after which a peer's announced revision is ignored.
const MAX_PEER_FAILURES: u32 = 3;

/// The revision last received from a peer.
#[derive(Clone, Copy, Debug, Default)]
struct PeerRevision {
    revision: u64,
    at: Millis,
    /// Number of consecutive messages that the peer hasn't answered since.
    failures: u32,
}

/// The dissemination of the configuration as seen by one instance.
#[derive(Debug)]
pub struct Spread {
    settings: SpreadSettings,
    held: Snapshot,
    digest: u64,
    fetch: Option<Fetch>,
    /// Results of an abandoned fetch: complete parts, and one partially received text.
    saved_parts: Vec<Part>,
    partial: Partial,
    /// Number of consecutive late answers.
    late_answers: u32,
    peer_revisions: BTreeMap<InstanceId, PeerRevision>,
    /// Number of consecutive failed reads of parts, by team.
    failed_reads: BTreeMap<Arc<str>, u32>,
    peers: usize,
    peers_settled: bool,
    reader: IndexReader,
    budget: Budget,
    start: Start,
    last_compared: Option<Millis>,
    conflicts: BTreeSet<Conflict>,
    rng: SmallRng,
    actions: Vec<SpreadAction>,
}

impl Spread {
    /// Creates an instance that holds no configuration; `seed` seeds its random choices.
    pub fn new(settings: SpreadSettings, seed: u64, now: Millis) -> Spread {
        let held = Snapshot::default();
        Spread {
            budget: Budget::new(&settings, now),
            digest: held.digest(),
            held,
            settings,
            fetch: None,
            saved_parts: Vec::new(),
            partial: Partial::default(),
            late_answers: 0,
            peer_revisions: BTreeMap::new(),
            failed_reads: BTreeMap::new(),
            peers: 0,
            peers_settled: false,
            reader: IndexReader::default(),
            start: Start::new(now),
            last_compared: None,
            conflicts: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Returns the configuration that this instance holds. It is in force once
    /// [`Spread::is_ready`].
    pub fn held(&self) -> &Snapshot {
        &self.held
    }

    /// Returns the digest of the configuration that this instance holds.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of neighbours to which a change is announced.
    pub fn fanout(&self) -> usize {
        self.settings.fanout
    }

    /// Returns whether a configuration is in force.
    pub fn is_ready(&self) -> bool {
        self.start.is_ready()
    }

    /// Returns the last revision received from a peer; zero if none was.
    pub fn peer_revision(&self, peer: &InstanceId) -> u64 {
        self.peer_revisions
            .get(peer)
            .map_or(0, |heard| heard.revision)
    }

    /// Returns when a message of a peer was last received; `None` if none was, or if the peer
    /// failed repeatedly since.
    pub fn last_heard(&self, peer: &InstanceId) -> Option<Millis> {
        self.peer_revisions.get(peer).map(|heard| heard.at)
    }

    /// Returns the highest revision that is held or was reported by the platform or a peer.
    pub fn newest(&self) -> u64 {
        let peers = self
            .peer_revisions
            .values()
            .map(|heard| heard.revision)
            .max();
        let known = self.held.revision.max(self.reader.listed_revision());
        known.max(peers.unwrap_or(0))
    }

    /// Advances time.
    pub fn tick(&mut self, now: Millis) -> Vec<SpreadAction> {
        self.expire_fetch(now);
        self.read_platform(now);
        self.advance(now);
        self.finish(now)
    }

    fn finish(&mut self, now: Millis) -> Vec<SpreadAction> {
        self.try_start(now);
        std::mem::take(&mut self.actions)
    }

    fn act(&mut self, action: SpreadAction) {
        self.actions.push(action);
    }

    fn report(&mut self, finding: SpreadFinding) {
        self.act(SpreadAction::Report(finding));
    }

    fn report_conflict(&mut self, conflict: Conflict) {
        if self.conflicts.len() >= MAX_CONFLICTS {
            self.conflicts.pop_first();
        }
        if self.conflicts.insert(conflict.clone()) {
            self.report(SpreadFinding::Conflict(conflict));
        }
    }

    /// Takes the next step of the current fetch, or starts one towards the highest known revision.
    fn advance(&mut self, now: Millis) {
        if self.fetch.is_none() {
            self.start_fetch();
        }
        let Some(fetch) = &self.fetch else {
            return;
        };
        if fetch.asked_at.is_some() {
            return;
        }
        if fetch.list_complete && fetch.wanted.is_empty() {
            self.put_in_force();
            return;
        }
        match fetch.source.clone() {
            Source::Platform => self.ask_platform(now),
            Source::Peer(peer) => self.ask_peer(&peer, now),
        }
    }

    /// Stages a part, unless the total size of all texts would become too large.
    fn stage(&mut self, part: Part) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let staged: usize = fetch.staged.iter().map(|part| part.text.len()).sum();
        let bytes = part.text.len() + staged + self.held.bytes();
        if bytes > self.settings.max_total_bytes {
            self.skip(&part.head.team.clone());
            return;
        }
        fetch.stage(part);
    }

    /// Skips a part that is too large. The fetch continues: one team's oversized part must not
    /// delay the changes of other teams.
    fn skip(&mut self, team: &Arc<str>) {
        if let Some(fetch) = &mut self.fetch {
            fetch.skip(team);
        }
        self.report(SpreadFinding::TooLarge(team.clone()));
    }

    /// Puts everything that was fetched in force at once.
    fn put_in_force(&mut self) {
        let Some(fetch) = self.fetch.take() else {
            return;
        };
        self.late_answers = 0;
        self.saved_parts.clear();
        self.partial = Partial::default();
        let before = (self.held.revision, self.digest);
        let conflicts = self.held.merge(fetch.staged, fetch.revision);
        for conflict in conflicts {
            self.report_conflict(conflict);
        }
        self.digest = self.held.digest();
        if (self.held.revision, self.digest) == before {
            return;
        }
        if self.is_ready() {
            self.act(SpreadAction::InForce(self.held.clone()));
        }
        self.act(SpreadAction::Announce(self.held.revision));
    }

    /// Abandons the fetch if an answer is overdue, and records the failure of its source.
    fn expire_fetch(&mut self, now: Millis) {
        let doubled = Millis(
            self.settings.answer_timeout.0
                << (self.late_answers / LATE_ANSWERS_PER_DOUBLING).min(8),
        );
        let wait = doubled.min(self.settings.max_answer_timeout);
        let overdue = |fetch: &Fetch| fetch.asked_at.is_some_and(|t| now.since(t) >= wait);
        if !self.fetch.as_ref().is_some_and(overdue) {
            return;
        }
        self.late_answers += 1;
        if let Some(Source::Peer(peer)) = self.abandon() {
            self.count_failure(&peer);
        }
    }

    /// Counts a failure of a peer. A single lost message says little about it, and it may be the
    /// only one that holds the newest revision; a peer that fails repeatedly is forgotten.
    fn count_failure(&mut self, peer: &InstanceId) {
        if let Some(heard) = self.peer_revisions.get_mut(peer) {
            heard.failures += 1;
        }
        self.peer_revisions
            .retain(|_, heard| heard.failures < MAX_PEER_FAILURES);
    }

    /// Abandons the fetch, but keeps its complete parts and its partial text for the next fetch.
    fn abandon(&mut self) -> Option<Source> {
        let fetch = self.fetch.take()?;
        for part in fetch.staged {
            self.saved_parts
                .retain(|old| old.head.team != part.head.team);
            self.saved_parts.push(part);
        }
        self.partial = fetch.partial;
        Some(fetch.source)
    }

    /// Returns a part that an earlier fetch received completely.
    fn saved_part(&self, team: &str, revision: u64) -> Option<&Part> {
        let mut parts = self.saved_parts.iter().filter(|part| !part.head.removed);
        parts.find(|part| *part.head.team == *team && part.head.revision == revision)
    }
}
