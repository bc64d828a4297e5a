//! Determines which servers of a service an entry instance uses, and how much of each: a state
//! machine.

use crocushold_base::Millis;

use crate::server::Allotment;
use crate::server::ServerSpec;
use crate::server::Share;
use crate::subset::assign;
use crate::subset::coverage;
use crate::subset::members;

/// Minimum number of servers of an instance, even if a server then has more senders than slots.
/// With a single server, its crash would leave the instance without any.
const MIN_SERVERS: usize = 4;

/// Time between two steps that widen the subset. By then the servers of the previous step have
/// reported.
const MIN_STEP_INTERVAL: Millis = Millis::from_secs(2);

/// How long all slots must be taken while requests wait before the subset is widened.
const WIDEN_AFTER_FULL: Millis = Millis::from_secs(1);

/// How long the instance's own servers must be able to serve before the subset is narrowed by a
/// step.
const NARROW_AFTER: Millis = Millis::from_secs(10);

/// The entry instances that share the servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryFleet {
    /// The hashed identities of the live instances.
    pub instances: Vec<u64>,
    /// The identity of this instance.
    pub local_id: u64,
    /// This instance's share where every instance uses all servers.
    pub share: Share,
}

impl Default for EntryFleet {
    fn default() -> EntryFleet {
        EntryFleet {
            instances: vec![0],
            local_id: 0,
            share: Share::default(),
        }
    }
}

/// Why the subset can't serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Shortage {
    /// No server accepts requests, or none holds the model.
    Down,
    /// All slots are taken and requests wait.
    Full,
    /// An attempt failed, and no other server has a free slot for the next one.
    Retry,
}

/// The servers of one service that one instance uses.
///
/// Normally these are its assigned subset, with its share of each server's concurrency. Every
/// server has a given number of senders. It has more where each instance would otherwise have too
/// few servers of the service, but then no more than its concurrency can be divided among. While
/// the assigned servers can't serve, the subset is widened step by step, each time to twice as many
/// senders per server, and the additional servers are borrowed: [`Allotment::Borrowed`].
#[derive(Debug)]
pub struct ServerSubset {
    /// Minimum number of senders of a server, if there are as many instances.
    min_senders: usize,
    /// Number of servers that an instance should have.
    target_servers: usize,
    fleet: EntryFleet,
    /// Identity and concurrency of each server.
    servers: Vec<(u64, u32)>,
    allotted: Vec<(usize, Allotment)>,
    own_count: usize,
    step: u32,
    widened_at: Option<Millis>,
    full_since: Option<Millis>,
    relieved_since: Option<Millis>,
}

impl ServerSubset {
    /// Creates the subset of a lone instance that knows no server yet. A server gets at least
    /// `senders` senders; the number must be the same on all instances.
    pub fn new(min_senders: usize) -> ServerSubset {
        ServerSubset {
            min_senders,
            target_servers: 0,
            fleet: EntryFleet::default(),
            servers: Vec::new(),
            allotted: Vec::new(),
            own_count: 0,
            step: 0,
            widened_at: None,
            full_since: None,
            relieved_since: None,
        }
    }

    /// Sets the live instances. Returns true if that changes the allotments.
    pub fn set_fleet(&mut self, fleet: &EntryFleet) -> bool {
        if self.fleet == *fleet {
            return false;
        }
        self.fleet.clone_from(fleet);
        self.recompute()
    }

    /// Sets the service's servers, of which an instance should have about `wanted`, or more if the
    /// servers have too few senders.
    ///
    /// Pass the configured servers, which are the same on all instances, not those that happen to
    /// be up. Otherwise instances that see the outage of a server at different times compute
    /// different shares.
    pub fn set_servers(&mut self, servers: &[ServerSpec], target_servers: usize) {
        self.target_servers = target_servers;
        let servers = servers.iter().map(|server| (server.id, server.concurrency));
        self.servers = servers.collect();
        self.recompute();
    }

    /// Returns the servers in use by ascending index, and how much of each may be used.
    pub fn allotted(&self) -> &[(usize, Allotment)] {
        &self.allotted
    }

    /// Returns how many of them are assigned to this instance rather than borrowed.
    pub fn own(&self) -> usize {
        self.own_count
    }

    /// Returns whether every server is in use, so that a shortage affects the whole service.
    pub fn is_whole(&self) -> bool {
        self.allotted.len() == self.servers.len()
    }

    /// Returns whether every server is in use and has had time to report. What no server holds now
    /// doesn't exist.
    pub fn is_exhausted(&self, now: Millis) -> bool {
        let waited = self
            .widened_at
            .is_none_or(|at| now.since(at) >= MIN_STEP_INTERVAL);
        self.is_whole() && waited
    }

    /// Returns whether servers are borrowed.
    pub fn is_widened(&self) -> bool {
        self.step > 0
    }

    /// Reports that a request found no server. Returns true if the subset was widened.
    ///
    /// [`Shortage::Full`] widens by one step only: when the whole fleet is overloaded, every
    /// instance is full and more servers wouldn't help.
    pub fn on_shortage(&mut self, shortage: Shortage, now: Millis) -> bool {
        self.relieved_since = None;
        if self.is_whole() {
            return false;
        }
        let due = match shortage {
            Shortage::Down => self
                .widened_at
                .is_none_or(|at| now.since(at) >= MIN_STEP_INTERVAL),
            Shortage::Retry => self.step == 0,
            Shortage::Full => {
                let since = *self.full_since.get_or_insert(now);
                self.step == 0 && now.since(since) >= WIDEN_AFTER_FULL
            }
        };
        if due {
            self.full_since = None;
            self.widened_at = Some(now);
            self.step += 1;
            self.recompute();
        }
        due
    }

    /// Reports that no request lacks a server, and whether the instance's own servers could serve
    /// the earlier shortage. Returns true if the subset was narrowed.
    pub fn on_relief(&mut self, own_can_serve: bool, now: Millis) -> bool {
        self.full_since = None;
        if !own_can_serve || self.step == 0 {
            self.relieved_since = None;
            return false;
        }
        let since = *self.relieved_since.get_or_insert(now);
        if now.since(since) < NARROW_AFTER {
            return false;
        }
        self.relieved_since = None;
        self.step -= 1;
        if self.step == 0 {
            self.widened_at = None;
        }
        self.recompute()
    }

    /// Recomputes the allotments. Returns true if they changed.
    fn recompute(&mut self) -> bool {
        let mut next = self.subset(0);
        self.own_count = next.len();
        if self.step > 0 {
            let own = next.clone();
            let is_own = |index| {
                own.binary_search_by_key(&index, |&(index, _)| index)
                    .is_ok()
            };
            let wider = self.subset(self.step).into_iter();
            let beyond = wider.filter(|&(index, _)| !is_own(index));
            next.extend(beyond.map(|(index, _)| (index, Allotment::Borrowed)));
            next.sort_unstable_by_key(|&(index, _)| index);
        }
        let changed = next != self.allotted;
        self.allotted = next;
        changed
    }

    /// The subset after `step` widening steps.
    fn subset(&self, step: u32) -> Vec<(usize, Allotment)> {
        let peers = members(&self.fleet.instances, self.fleet.local_id);
        let sender_counts = self.sender_counts(peers.len(), step);
        if sender_counts.iter().all(|&count| count == peers.len()) {
            let all = Allotment::Own(self.fleet.share);
            return (0..sender_counts.len()).map(|index| (index, all)).collect();
        }
        let ids: Vec<u64> = self.servers.iter().map(|&(id, _)| id).collect();
        let assigned = assign(&ids, &sender_counts, &peers, self.fleet.local_id);
        let assigned = assigned.into_iter();
        assigned
            .map(|(index, share)| (index, Allotment::Own(share)))
            .collect()
    }

    /// The number of senders of each server.
    fn sender_counts(&self, instances: usize, step: u32) -> Vec<usize> {
        let server_count = self.servers.len();
        let count = coverage(server_count, instances, self.target_servers).max(self.min_senders);
        let min = (instances * MIN_SERVERS).div_ceil(server_count.max(1));
        let factor = 1_usize.checked_shl(step).unwrap_or(usize::MAX);
        let sender_counts = self.servers.iter().map(|&(_, concurrency)| {
            let slots = usize::try_from(concurrency).unwrap_or(usize::MAX);
            let max = slots.max(self.min_senders).max(min);
            let senders = count.min(max);
            senders.saturating_mul(factor).min(instances)
        });
        sender_counts.collect()
    }
}
