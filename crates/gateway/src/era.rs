//! Guards against outdated data after the store was restored from an older copy.
//!
//! The store may become unavailable for a moment and return with a state that is some seconds old.
//! Its entries then show servers as ready that are draining or gone, and an evacuation of a zone
//! may be missing. An instance that trusts them sends requests where none may go.
//!
//! Writers repeat everything that was written since the copy. Servers number their entries, so an
//! entry is accepted only if it isn't older than the newest one known of its server, and a server
//! that was removed must write a new entry. An evacuation that is missing from the copy is retained
//! until it had time to be written again.

use std::collections::HashMap;
use std::collections::VecDeque;

use crocushold_base::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of removed servers to remember: several times the number of servers that are
/// replaced while a copy ages.
const MAX_REMOVED: usize = 512;

/// How long after a restore an evacuation is retained that is missing from the store: several times
/// what servers need to be listed again.
pub const EVACUATION_GRACE: Millis = Millis::from_secs(5);

/// A point in the store's history. Numbers are reused in each era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Number of times that the store was restored from an older copy.
    pub era: u64,
    /// Number of changes within the era.
    pub number: u64,
}

/// Version of a server's entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryVersion {
    /// Start time of the process that wrote the entry; `None` if the entry doesn't contain it.
    pub started: Option<u64>,
    /// Sequence number of the entry among those of the process.
    pub sequence: u64,
}

/// The oldest acceptable version of a server's entry.
#[derive(Clone, Copy, Debug)]
struct Floor {
    version: EntryVersion,
    /// Whether the server was removed, so that it must have written a newer entry.
    removed: bool,
}

impl Floor {
    fn admits(&self, version: EntryVersion) -> bool {
        let held = self.version;
        if version.started != held.started {
            // Sequence numbers of different processes aren't comparable, and the known process is
            // the later one.
            return version.started > held.started;
        }
        version.sequence > held.sequence || (version.sequence == held.sequence && !self.removed)
    }
}

/// Entry versions and evacuations that were known when the store was restored.
#[derive(Clone, Debug, Default)]
pub struct EraGuard {
    /// The newest entry version of each listed server.
    known: HashMap<String, EntryVersion>,
    /// The last entry versions of removed servers, oldest first.
    removed: VecDeque<(String, EntryVersion)>,
    /// Minimum versions since the last restore, by server. A newer entry removes the minimum.
    floors: HashMap<String, Floor>,
    /// The time until which evacuations are retained that are missing from the store.
    grace: Option<Millis>,
    /// Retained evacuations by zone, with the time at which each ends.
    retained_zones: HashMap<String, Millis>,
}

impl EraGuard {
    /// Records that the store was restored from an older copy.
    pub fn start_era(&mut self, now: Millis) {
        let known = self.known.iter();
        let known = known.map(|(id, version)| (id, version, false));
        let removed = self.removed.iter();
        let removed = removed.map(|(id, version)| (id, version, true));
        let floors = removed.chain(known).map(|(id, &version, removed)| {
            let floor = Floor { version, removed };
            (id.clone(), floor)
        });
        self.floors = floors.collect();
        self.grace = Some(now + EVACUATION_GRACE);
    }

    /// Records an entry of a server. Returns whether it is accepted.
    pub fn accepts(&mut self, id: &str, version: EntryVersion) -> bool {
        if let Some(floor) = self.floors.get(id) {
            if !floor.admits(version) {
                return false;
            }
            self.floors.remove(id);
        }
        match self.known.get_mut(id) {
            Some(held) => *held = version,
            None => {
                self.known.insert(id.to_owned(), version);
            }
        }
        true
    }

    /// Records that a server was removed.
    pub fn remove(&mut self, id: &str) {
        let Some((id, version)) = self.known.remove_entry(id) else {
            return;
        };
        if self.removed.len() >= MAX_REMOVED {
            self.removed.pop_front();
        }
        self.removed.push_back((id, version));
    }

    /// Returns whether a known evacuation of `zone` is retained although the store doesn't contain
    /// it.
    pub fn retains_evacuation(&mut self, zone: &str, now: Millis) -> bool {
        if self.retained_zones.contains_key(zone) {
            return true;
        }
        let grace = self.grace.filter(|until| now < *until);
        if let Some(until) = grace {
            self.retained_zones.insert(zone.to_owned(), until);
        }
        grace.is_some()
    }

    /// Records that the store contains an evacuation of `zone`, or that it was ended explicitly.
    pub fn confirm_zone(&mut self, zone: &str) {
        self.retained_zones.remove(zone);
    }

    /// Removes and returns the zones whose evacuations weren't written again in time.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        let due = self.retained_zones.extract_if(|_, until| *until <= now);
        due.map(|(zone, _)| zone).collect()
    }
}
