//! Which servers this instance reaches, and how it knows.
//!
//! A connection that can't be established has two possible causes: the server, or this instance's
//! network path. What tells them apart is whether other connections succeed at the same time. If
//! connections to several servers fail and none to any server has been established since, the path
//! is taken to be lost, with all servers behind it, until a connection succeeds.
//!
//! All of this binds only the instance that observed it: a server that it can't reach may serve all
//! others.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use slotmap::SecondaryMap;

/// Number of servers that must be out of reach, with no connection to any server since, before the
/// path is taken to be lost. If fewer are known, all of them must be out of reach.
const LOSS_SERVERS: usize = 3;

/// How an instance knows that it doesn't reach a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReachEvidence {
    /// A connection for a request failed.
    Request,
    /// A connection that was opened to test the path failed.
    Probe,
}

/// A change of what an instance reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// The server is out of reach.
    ServerLost(ServerKey, ReachEvidence),
    /// The server is within reach again, after this time.
    ServerRegained(ServerKey, Millis),
    /// No server is within reach.
    PathLost {
        /// Number of servers to which connections failed.
        servers: usize,
    },
    /// A server is within reach again, after this time.
    PathRegained {
        /// How long no server was within reach.
        after: Millis,
    },
}

/// What is known of the path to one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// When the last connection was established, if any.
    pub connected_at: Option<Millis>,
    /// The failure since which no connection was established, if any.
    pub failure: Option<ReachFailure>,
}

/// The failure of connections to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachFailure {
    /// When the first failed connection was started.
    pub since: Millis,
    /// How the first failure was observed.
    pub evidence: ReachEvidence,
}

/// Which servers this instance reaches.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    servers: SecondaryMap<ServerKey, Reach>,
    /// When the last connection to any server was established.
    connected_at: Option<Millis>,
    /// Since when the path to all servers is lost.
    lost_since: Option<Millis>,
}

impl Reachability {
    /// Records that a connection to a server was established at `now`.
    pub fn record_connected(&mut self, server: ServerKey, now: Millis) -> Vec<ReachChange> {
        let mut changes = Vec::new();
        self.connected_at = Some(now);
        if let Some(since) = self.lost_since.take() {
            changes.push(ReachChange::PathRegained {
                after: now.since(since),
            });
            self.clear_failures_since(since);
        }
        let reach = self.entry(server);
        reach.connected_at = Some(now);
        if let Some(failure) = reach.failure.take() {
            let after = now.since(failure.since);
            changes.push(ReachChange::ServerRegained(server, after));
        }
        changes
    }

    /// Records that a connection to a server that was started at `started` failed. `known` is the
    /// number of servers that this instance may use.
    pub fn record_failure(
        &mut self,
        server: ServerKey,
        started: Millis,
        evidence: ReachEvidence,
        known: usize,
    ) -> Vec<ReachChange> {
        let reach = self.entry(server);
        let outdated = reach.connected_at.is_some_and(|at| at >= started);
        if outdated || reach.failure.is_some() {
            return Vec::new();
        }
        reach.failure = Some(ReachFailure {
            since: started,
            evidence,
        });
        let mut changes = vec![ReachChange::ServerLost(server, evidence)];
        let failures = self.servers.values().filter_map(|reach| reach.failure);
        let connected_at = self.connected_at;
        let since = failures.map(|failure| failure.since);
        let since = since.filter(|since| connected_at.is_none_or(|at| at < *since));
        let servers = since.clone().count();
        let all = known > 1 && self.unreachable().count() >= known;
        if (all || servers >= LOSS_SERVERS) && self.lost_since.is_none() {
            self.lost_since = since.min().or(Some(started));
            changes.push(ReachChange::PathLost { servers });
        }
        changes
    }

    /// Forgets a server that is no longer listed, or whose process was replaced.
    pub fn forget(&mut self, server: ServerKey) {
        self.servers.remove(server);
    }

    /// Whether the server is taken to be within reach.
    pub fn reaches(&self, server: ServerKey) -> bool {
        self.lost_since.is_none() && self.of(server).failure.is_none()
    }

    /// What is known of the path to a server.
    pub fn of(&self, server: ServerKey) -> Reach {
        self.servers.get(server).copied().unwrap_or_default()
    }

    /// Since when no server is within reach, if that is so.
    pub fn lost_since(&self) -> Option<Millis> {
        self.lost_since
    }

    /// The servers to which connections fail.
    pub fn unreachable(&self) -> impl Iterator<Item = ServerKey> {
        let servers = self.servers.iter();
        let failing = servers.filter(|(_, reach)| reach.failure.is_some());
        failing.map(|(server, _)| server)
    }

    fn entry(&mut self, server: ServerKey) -> &mut Reach {
        if !self.servers.contains_key(server) {
            self.servers.insert(server, Reach::default());
        }
        &mut self.servers[server]
    }

    /// Clears the failures that began while the path was lost: they have the same cause.
    fn clear_failures_since(&mut self, lost_since: Millis) {
        for reach in self.servers.values_mut() {
            if reach
                .failure
                .is_some_and(|failure| failure.since >= lost_since)
            {
                reach.failure = None;
            }
        }
    }
}
