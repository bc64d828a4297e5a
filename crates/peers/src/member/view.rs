//! The live view that a member offers.

use std::sync::Arc;

use crate::identity::Instance;
use crate::identity::InstanceId;
use crate::member::ring;
use crate::message::Status;

/// Seed of the hash that chooses watchers.
const WATCHER_SEED: u64 = 0x77;

/// One life of an instance, and what is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberState {
    /// The instance.
    pub id: InstanceId,
    /// Wall-clock milliseconds at which the process started.
    pub start: u64,
    /// What is known of it.
    pub status: Status,
}

/// The live instances as one instance sees them, itself included, in order of their names.
#[derive(Clone, Debug)]
pub struct View {
    /// The live instances.
    pub instances: Arc<[Instance]>,
    /// Every instance that is known, with those that left or seem dead, in order of their names.
    pub members: Arc<[MemberState]>,
    /// Digest of names and lives: equal on two instances exactly when they see the same instances.
    pub digest: u64,
    /// The instance whose view this is.
    pub me: InstanceId,
    /// False while joining, and after an own pause until a peer has answered: the view may be old.
    pub settled: bool,
}

impl View {
    /// Number of live instances.
    pub fn live(&self) -> usize {
        self.instances.len()
    }

    /// This instance's position among the live instances.
    pub fn index(&self) -> Option<usize> {
        self.instances
            .binary_search_by(|instance| instance.id.cmp(&self.me))
            .ok()
    }

    /// Looks an instance up.
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        let at = self.instances.binary_search_by(|known| known.id.cmp(id));
        at.ok().map(|at| &self.instances[at])
    }

    /// Whether this instance is among the `count` of its zone that hold a watch on the platform.
    ///
    /// The choice is by rendezvous hashing, so it moves only where an instance comes or goes.
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

    /// Number of watchers over all zones.
    pub fn watchers(&self, count: usize) -> usize {
        let mut zones: Vec<&str> = self.instances.iter().map(|i| &*i.zone).collect();
        zones.sort_unstable();
        zones
            .chunk_by(|a, b| a == b)
            .map(|zone| zone.len().min(count))
            .sum()
    }
}
