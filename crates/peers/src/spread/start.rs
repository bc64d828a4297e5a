//! Choice of the first configuration that a new instance puts in force.

use crocushold_base::Millis;

use crate::spread::Spread;
use crate::spread::SpreadAction;

/// Answers of the platform since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlatformState {
    Unknown,
    Failed,
    Answered(u64),
}

/// State of the start.
#[derive(Debug)]
pub(super) struct Start {
    since: Millis,
    ready: bool,
    platform: PlatformState,
    last_query: Option<Millis>,
}

impl Start {
    pub(super) fn new(now: Millis) -> Start {
        Start {
            since: now,
            ready: false,
            platform: PlatformState::Unknown,
            last_query: None,
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns whether the platform has ever answered.
    pub(super) fn has_platform(&self) -> bool {
        matches!(self.platform, PlatformState::Answered(_))
    }

    pub(super) fn platform_answered(&mut self, revision: u64) {
        self.platform = PlatformState::Answered(revision);
    }

    pub(super) fn platform_failed(&mut self) {
        if self.platform == PlatformState::Unknown {
            self.platform = PlatformState::Failed;
        }
    }
}

impl Spread {
    /// Queries peers for their revisions; to be called until a configuration is in force, once
    /// peers are known.
    pub(crate) fn query_peers(&mut self, now: Millis) -> Vec<SpreadAction> {
        let recent = self
            .start
            .last_query
            .is_some_and(|t| now.since(t) < self.settings.answer_timeout);
        if !self.is_ready() && !recent {
            self.start.last_query = Some(now);
            self.act(SpreadAction::Query(self.settings.join_peers));
        }
        self.finish(now)
    }

    /// Sets how many peers can be asked, and whether joining is complete, so that no more are
    /// expected.
    pub(crate) fn set_peers(&mut self, peers: usize, settled: bool) {
        self.peers = peers;
        self.peers_settled = settled;
    }

    /// Puts the first configuration in force once no reachable peer or platform is known to hold a
    /// newer one. A new instance that relied on a stale platform alone would undo a change that its
    /// peers already follow.
    pub(super) fn try_start(&mut self, now: Millis) {
        if self.is_ready() {
            return;
        }
        let waited = now.since(self.start.since) >= self.settings.join_timeout;
        let heard_all = self.peers_settled
            && self.peer_revisions.len() >= self.peers.min(self.settings.join_peers);
        let platform_known = self.start.platform != PlatformState::Unknown;
        let informed = heard_all && platform_known;
        if !(waited || informed) {
            return;
        }
        let from_platform = match self.start.platform {
            PlatformState::Answered(revision) => Some(revision),
            _ => None,
        };
        let from_peers = self
            .peer_revisions
            .values()
            .map(|h| h.revision)
            .filter(|r| *r > 0)
            .max();
        let Some(target) = from_platform.max(from_peers) else {
            return;
        };
        if self.held.revision < target || self.fetch.is_some() {
            return;
        }
        self.start.ready = true;
        self.act(SpreadAction::InForce(self.held.clone()));
    }
}
