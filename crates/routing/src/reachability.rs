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
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use rand::seq::SliceRandom;
use slotmap::SecondaryMap;

/// Number of servers that must be out of reach, with no connection to any server since, before the
/// path is taken to be lost. If fewer are known, all of them must be out of reach.
const LOSS_SERVERS: usize = 3;

/// Number of other servers that are probed when a server turns out to be out of reach, to tell
/// whether the path is lost.
const SPREAD_PROBES: usize = 4;

/// Maximum number of probes in a round.
const ROUND_PROBES: usize = 4;

/// Minimum and maximum time between two probes of a server out of reach. While the path is lost,
/// some server is probed in each round.
const MIN_PROBE_INTERVAL: Millis = Millis(400);
const MAX_PROBE_INTERVAL: Millis = Millis(4000);

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
    /// When the next probe is due.
    next_probe: Millis,
    /// Time between the next probe and the one after it.
    interval: Millis,
}

/// Which servers this instance reaches.
#[derive(Clone, Debug)]
pub struct Reachability {
    servers: SecondaryMap<ServerKey, Reach>,
    /// Number of servers to which connections fail.
    failing: usize,
    /// When the last connection to any server was established.
    connected_at: Option<Millis>,
    /// Since when the path to all servers is lost.
    lost_since: Option<Millis>,
    rng: Xoshiro256PlusPlus,
}

impl Reachability {
    /// Nothing is known. The seed should differ between instances.
    pub fn new(seed: u64) -> Reachability {
        Reachability {
            servers: SecondaryMap::new(),
            failing: 0,
            connected_at: None,
            lost_since: None,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

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
            self.failing -= 1;
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
            next_probe: started + MIN_PROBE_INTERVAL,
            interval: MIN_PROBE_INTERVAL,
        });
        self.failing += 1;
        let mut changes = vec![ReachChange::ServerLost(server, evidence)];
        let failures = self.servers.values().filter_map(|reach| reach.failure);
        let connected_at = self.connected_at;
        let since = failures.map(|failure| failure.since);
        let since = since.filter(|since| connected_at.is_none_or(|at| at < *since));
        let servers = since.clone().count();
        let all = known > 1 && self.failing >= known;
        if (all || servers >= LOSS_SERVERS) && self.lost_since.is_none() {
            self.lost_since = since.min().or(Some(started));
            changes.push(ReachChange::PathLost { servers });
        }
        changes
    }

    /// Forgets a server that is no longer listed, or whose process was replaced.
    pub fn forget(&mut self, server: ServerKey) {
        let forgotten = self.servers.remove(server);
        if forgotten.is_some_and(|reach| reach.failure.is_some()) {
            self.failing -= 1;
        }
    }

    /// Whether the server is taken to be within reach.
    pub fn reaches(&self, server: ServerKey) -> bool {
        self.lost_since.is_none() && self.of(server).failure.is_none()
    }

    /// Whether all servers are taken to be within reach.
    pub fn reaches_all(&self) -> bool {
        self.lost_since.is_none() && self.failing == 0
    }

    /// Whether the path may be lost, after a failure that began at `since`: no connection to any server
    /// has been established since then.
    fn is_doubtful(&self, since: Millis) -> bool {
        self.lost_since.is_none() && self.connected_at.is_none_or(|at| at < since)
    }

    /// Chooses other servers of `usable` to probe after `server` has turned out to be out of reach.
    /// None if it is known whether the path is lost.
    pub fn spread_probes(&mut self, server: ServerKey, usable: &[ServerKey]) -> Vec<ServerKey> {
        let failure = self.of(server).failure;
        if !failure.is_some_and(|failure| self.is_doubtful(failure.since)) {
            return Vec::new();
        }
        let others = usable.iter().copied().filter(|other| self.reaches(*other));
        let mut others: Vec<ServerKey> = others.collect();
        others.shuffle(&mut self.rng);
        others.truncate(SPREAD_PROBES);
        others
    }

    /// Chooses the servers of `usable` whose probes are due.
    pub fn due_probes(&mut self, usable: &[ServerKey], now: Millis) -> Vec<ServerKey> {
        if self.reaches_all() {
            return Vec::new();
        }
        let mut due: Vec<ServerKey> = usable.to_vec();
        due.shuffle(&mut self.rng);
        if self.lost_since.is_none() {
            due.retain(|server| {
                let failure = self.of(*server).failure;
                failure.is_some_and(|failure| failure.next_probe <= now)
            });
        }
        due.truncate(ROUND_PROBES);
        for &server in &due {
            if let Some(failure) = &mut self.entry(server).failure {
                failure.next_probe = now + failure.interval;
                failure.interval = Millis(failure.interval.0 * 2).min(MAX_PROBE_INTERVAL);
            }
        }
        due
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
                self.failing -= 1;
            }
        }
    }
}
