//! The live view that a member provides.

use std::sync::Arc;

use crate::identity::Instance;
use crate::identity::InstanceId;
use crate::member::ring;
use crate::message::Status;

/// Seed of the hash by which watchers are chosen.
const WATCHER_SEED: u64 = 0x77;

/// The state of one process of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberState {
    /// The instance.
    pub id: InstanceId,
    /// Wall-clock time at which the process started, in milliseconds.
    pub start: u64,
    /// Its last known status.
    pub status: Status,
}

/// The live instances as seen by one instance, including itself, ordered by name.
#[derive(Clone, Debug)]
pub struct View {
    /// The live instances.
    pub instances: Arc<[Instance]>,
    /// All known instances, including those that left or are considered dead, ordered by name.
    pub members: Arc<[MemberState]>,
    /// Digest of names and start times: equal on two instances exactly when they see the same live
    /// processes.
    pub digest: u64,
    /// The instance whose view this is.
    pub me: InstanceId,
    /// False while joining, and after a pause of this process until a peer has answered: the view
    /// may be outdated.
    pub settled: bool,
}

impl View {
    /// Returns the number of live instances.
    pub fn live(&self) -> usize {
        self.instances.len()
    }

    /// Returns this instance's position among the live instances.
    pub fn index(&self) -> Option<usize> {
        self.instances
            .binary_search_by(|instance| instance.id.cmp(&self.me))
            .ok()
    }

    /// Looks up a live instance.
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        let at = self.instances.binary_search_by(|known| known.id.cmp(id));
        at.ok().map(|at| &self.instances[at])
    }

    /// Returns whether this instance is among the `count` watchers of its zone, which hold a watch
    /// on the platform.
    ///
    /// Watchers are chosen by rendezvous hashing, so that a joining or leaving instance changes the
    /// choice as little as possible.
    pub fn is_watcher(&self, count: usize) -> bool {
        let Some(me) = self.get(&self.me) else {
            return true;
        };
        let mine = ring::hash_id(WATCHER_SEED, &me.id);
        let ahead = self
            .instances
            .iter()
            .filter(|other| other.zone == me.zone)
            .filter(|other| ring::hash_id(WATCHER_SEED, &other.id) > mine)
            .count();
        ahead < count
    }

    /// Returns the number of watchers over all zones, with up to `count` in each zone.
    pub fn watchers(&self, count: usize) -> usize {
        let mut zones: Vec<&str> = self.instances.iter().map(|i| &*i.zone).collect();
        zones.sort_unstable();
        zones
            .chunk_by(|a, b| a == b)
            .map(|zone| zone.len().min(count))
            .sum()
    }
}
