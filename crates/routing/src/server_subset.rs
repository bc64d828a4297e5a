//! Which servers of a service one entry instance uses, and how much of each: a state machine.

use crocushold_base::Millis;

use crate::server::Allotment;
use crate::server::ServerSpec;
use crate::server::Share;
use crate::subset::coverage;
use crate::subset::covered;
use crate::subset::members;

/// Servers that an instance has at least, also where that makes more senders than slots: with one
/// alone, its crash would leave the instance without any.
const LEAST_SERVERS: usize = 4;

/// Between two steps that widen the reach: by then the servers of the first have reported.
const STEP_GAP: Millis = Millis::from_secs(2);

/// How long all slots have to be taken, while requests wait, before the reach is widened.
const FULL_FOR: Millis = Millis::from_secs(1);

/// How long the own servers have to be able to serve before the reach is narrowed by a step.
const EASED_FOR: Millis = Millis::from_secs(10);

/// The entry instances that share the servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryFleet {
    /// The hashed identities of the live ones.
    pub instances: Vec<u64>,
    /// This one's.
    pub local_id: u64,
    /// This one's part where all use all servers.
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

/// What the reach lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Shortage {
    /// No server takes work, or none holds the model.
    Down,
    /// All slots are taken, and requests wait.
    Full,
    /// An attempt failed, and no other server has a slot for the next one.
    Retry,
}

/// The servers that one instance uses of one service.
///
/// Normally its subset, with its part of each server's concurrency. Every server has a given number
/// of senders; more where each instance would otherwise have too few servers of the service, but then
/// no more than its concurrency can be shared among. When the subset can't serve, the reach is widened
/// step by step, each time to twice as many senders a server, and the servers beyond the own subset
/// are borrowed: [`Allotment::Borrowed`].
#[derive(Debug)]
pub struct ServerSubset {
    /// Senders that a server has at least, if there are as many instances.
    senders: usize,
    /// Servers that an instance is to have.
    wanted: usize,
    fleet: EntryFleet,
    /// Identity and concurrency of each server.
    servers: Vec<(u64, u32)>,
    allotted: Vec<(usize, Allotment)>,
    own: usize,
    step: u32,
    widened: Option<Millis>,
    full: Option<Millis>,
    eased: Option<Millis>,
}

impl ServerSubset {
    /// The reach of an instance that is alone, before it knows any server. A server is to have
    /// `senders` at least, the same number on all instances.
    pub fn new(senders: usize) -> ServerSubset {
        ServerSubset {
            senders,
            wanted: 0,
            fleet: EntryFleet::default(),
            servers: Vec::new(),
            allotted: Vec::new(),
            own: 0,
            step: 0,
            widened: None,
            full: None,
            eased: None,
        }
    }

    /// Takes over the live instances; true when that changes the allotments.
    pub fn set_fleet(&mut self, fleet: &EntryFleet) -> bool {
        if self.fleet == *fleet {
            return false;
        }
        self.fleet.clone_from(fleet);
        self.lay_out()
    }

    /// Takes over the service's servers, of which an instance is to have about `wanted`, or more if
    /// the servers lack senders.
    ///
    /// Give the configured servers, the same on all instances, not those that happen to be up:
    /// otherwise instances that see the outage of a server at different times share differently.
    pub fn set_servers(&mut self, servers: &[ServerSpec], wanted: usize) {
        self.wanted = wanted;
        let servers = servers.iter().map(|server| (server.id, server.concurrency));
        self.servers = servers.collect();
        self.lay_out();
    }

    /// The servers in reach by their index, ascending, and how much of each may be used.
    pub fn allotted(&self) -> &[(usize, Allotment)] {
        &self.allotted
    }

    /// How many of them are the instance's own.
    pub fn own(&self) -> usize {
        self.own
    }

    /// Whether every server is in reach: then a lack is one of the service.
    pub fn is_whole(&self) -> bool {
        self.allotted.len() == self.servers.len()
    }

    /// Whether every server is in reach, and has been for long enough to have reported: what none
    /// holds now isn't there.
    pub fn is_exhausted(&self, now: Millis) -> bool {
        let looked = self.widened.is_none_or(|at| now.since(at) >= STEP_GAP);
        self.is_whole() && looked
    }

    /// Whether servers are borrowed.
    pub fn is_widened(&self) -> bool {
        self.step > 0
    }

    /// Says that a request found no server; true when the reach was widened.
    ///
    /// Fullness widens by one step only, since in an overload of the whole fleet every instance is
    /// full, and there is nothing to be found further out.
    pub fn on_shortage(&mut self, lack: Shortage, now: Millis) -> bool {
        self.eased = None;
        if self.is_whole() {
            return false;
        }
        let due = match lack {
            Shortage::Down => self.widened.is_none_or(|at| now.since(at) >= STEP_GAP),
            Shortage::Retry => self.step == 0,
            Shortage::Full => {
                let since = *self.full.get_or_insert(now);
                self.step == 0 && now.since(since) >= FULL_FOR
            }
        };
        if due {
            self.full = None;
            self.widened = Some(now);
            self.step += 1;
            self.lay_out();
        }
        due
    }

    /// Says that no request lacks a server, and whether the own ones could serve what was lacking;
    /// true when the reach was narrowed.
    pub fn on_relief(&mut self, own_serve: bool, now: Millis) -> bool {
        self.full = None;
        if !own_serve || self.step == 0 {
            self.eased = None;
            return false;
        }
        let since = *self.eased.get_or_insert(now);
        if now.since(since) < EASED_FOR {
            return false;
        }
        self.eased = None;
        self.step -= 1;
        if self.step == 0 {
            self.widened = None;
        }
        self.lay_out()
    }

    /// Works the allotments out anew; true when they changed.
    fn lay_out(&mut self) -> bool {
        let mut next = self.subset(0);
        self.own = next.len();
        if self.step > 0 {
            let own = next.clone();
            let is_own = |at| own.binary_search_by_key(&at, |&(at, _)| at).is_ok();
            let wider = self.subset(self.step).into_iter();
            let beyond = wider.filter(|&(at, _)| !is_own(at));
            next.extend(beyond.map(|(at, _)| (at, Allotment::Borrowed)));
            next.sort_unstable_by_key(|&(at, _)| at);
        }
        let changed = next != self.allotted;
        self.allotted = next;
        changed
    }

    /// The subset after so many steps.
    fn subset(&self, step: u32) -> Vec<(usize, Allotment)> {
        let peers = members(&self.fleet.instances, self.fleet.local_id);
        let covers = self.covers(peers.len(), step);
        if covers.iter().all(|&cover| cover == peers.len()) {
            let all = Allotment::Own(self.fleet.share);
            return (0..covers.len()).map(|at| (at, all)).collect();
        }
        let ids: Vec<u64> = self.servers.iter().map(|&(id, _)| id).collect();
        let mine = covered(&ids, &covers, &peers, self.fleet.local_id);
        let mine = mine.into_iter();
        mine.map(|(at, share)| (at, Allotment::Own(share)))
            .collect()
    }

    /// The number of senders of each server.
    fn covers(&self, instances: usize, step: u32) -> Vec<usize> {
        let count = self.servers.len();
        let cover = coverage(count, instances, self.wanted).max(self.senders);
        let least = (instances * LEAST_SERVERS).div_ceil(count.max(1));
        let factor = 1_usize.checked_shl(step).unwrap_or(usize::MAX);
        let covers = self.servers.iter().map(|&(_, concurrency)| {
            let slots = usize::try_from(concurrency).unwrap_or(usize::MAX);
            let most = slots.max(self.senders).max(least);
            let senders = cover.min(most);
            senders.saturating_mul(factor).min(instances)
        });
        covers.collect()
    }
}
