//! What is believed of a store that has come back from an older copy.
//!
//! The failure it answers: the store is away for a moment and returns some seconds old. Its entries say of a server that
//! is leaving, or gone, that it takes work, and hold nothing of a zone that is being evacuated. Whoever believes them
//! sends requests where none must go.
//!
//! All that was written since is written again by those who wrote it. So an entry counts only if it isn't older than
//! what is known of its server: servers number their entries. A server that was gone must write a new one. An
//! evacuation that the copy lacks holds on until it had time to be written again.

use std::collections::HashMap;
use std::collections::VecDeque;

use crocushold_base::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Servers that are gone of which it is remembered: several times those of a fleet that is replaced while a copy ages.
const MOST_GONE: usize = 512;

/// How long after the store has gone back an evacuation may be missing that still holds: several times what servers
/// need to be back.
pub const EVACUATION_GRACE: Millis = Millis::from_secs(5);

/// A point in the store's history. Numbers are given out again in each era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the store has come back from an older copy.
    pub era: u64,
    /// Counts the changes of an era.
    pub number: u64,
}

/// Which of a server's entries it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryVersion {
    /// The process that wrote it, by the time of its start; `None` where it doesn't say.
    pub started: Option<u64>,
    /// Counts the entries of a process.
    pub sequence: u64,
}

/// The oldest entry of a server that is believed.
#[derive(Clone, Copy, Debug)]
struct Floor {
    version: EntryVersion,
    /// Whether the server was gone: it must have written since.
    gone: bool,
}

impl Floor {
    fn admits(&self, version: EntryVersion) -> bool {
        let held = self.version;
        if version.started != held.started {
            // The number of a process says nothing of another's; the one that is known is the later one.
            return version.started > held.started;
        }
        version.sequence > held.sequence || (version.sequence == held.sequence && !self.gone)
    }
}

/// What was known of servers and zones when the store went back.
#[derive(Clone, Debug, Default)]
pub struct EraGuard {
    /// The newest entry of each server that is listed.
    known: HashMap<String, EntryVersion>,
    /// The last entries of servers that are gone, the latest last.
    gone: VecDeque<(String, EntryVersion)>,
    /// Since the store went back, by server; what was written later ends it.
    floors: HashMap<String, Floor>,
    /// Until when evacuations hold that the store lacks.
    grace: Option<Millis>,
    /// Those that it lacks.
    zones: HashMap<String, Millis>,
}

impl EraGuard {
    /// The store has come back from an older copy.
    pub fn begin(&mut self, now: Millis) {
        let known = self.known.iter();
        let known = known.map(|(id, version)| (id, version, false));
        let gone = self.gone.iter();
        let gone = gone.map(|(id, version)| (id, version, true));
        let floors = gone.chain(known).map(|(id, &version, gone)| {
            let floor = Floor { version, gone };
            (id.clone(), floor)
        });
        self.floors = floors.collect();
        self.grace = Some(now + EVACUATION_GRACE);
    }

    /// An entry of a server was read; whether it is believed.
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

    /// A server is gone.
    pub fn forget(&mut self, id: &str) {
        let Some((id, version)) = self.known.remove_entry(id) else {
            return;
        };
        if self.gone.len() >= MOST_GONE {
            self.gone.pop_front();
        }
        self.gone.push_back((id, version));
    }

    /// The store holds no evacuation of `zone`, of which one is known; whether it holds on for the moment.
    pub fn retains_evacuation(&mut self, zone: &str, now: Millis) -> bool {
        if self.zones.contains_key(zone) {
            return true;
        }
        let grace = self.grace.filter(|until| now < *until);
        if let Some(until) = grace {
            self.zones.insert(zone.to_owned(), until);
        }
        grace.is_some()
    }

    /// The store holds an evacuation of `zone`, or says that it has ended.
    pub fn confirm_zone(&mut self, zone: &str) {
        self.zones.remove(zone);
    }

    /// The zones whose evacuations weren't written again in time.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        let due = self.zones.extract_if(|_, until| *until <= now);
        due.map(|(zone, _)| zone).collect()
    }
}
