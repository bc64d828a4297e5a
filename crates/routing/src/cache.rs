//! Hints about which server has which prompt prefix cached, from cache events that arrive late and
//! may be lost.

use std::collections::HashMap;

use crocushold_base::Millis;
use crocushold_base::ServerKey;

/// A cache event of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// The engine's sequence number of the event.
    pub seq: u64,
    /// The change.
    pub change: CacheChange,
    /// The hash of the prompt prefix.
    pub prefix: u64,
}

/// A change to a prefix in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The prefix is now cached.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// A server's position in its stream of cache events.
///
/// A missed event advances the epoch. The missed event may have been an eviction, so all earlier
/// hints for that server become invalid. Keeping them could send traffic to a cold cache; dropping
/// them only costs a fallback to the ring.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cursor {
    last: Option<u64>,
    epoch: u32,
}

impl Cursor {
    /// Moves to event `seq`. Returns false for a repeated or reordered event, which must be
    /// ignored.
    pub(crate) fn advance(&mut self, seq: u64) -> bool {
        let Some(last) = self.last else {
            self.last = Some(seq);
            return true;
        };
        if seq <= last {
            return false;
        }
        if seq > last + 1 {
            self.epoch += 1;
        }
        self.last = Some(seq);
        true
    }

    /// Invalidates all hints so far and accepts any sequence number next, since the engine
    /// restarted.
    pub(crate) fn restart(&mut self) {
        self.last = None;
        self.epoch += 1;
    }

    /// The current epoch.
    pub(crate) fn epoch(&self) -> u32 {
        self.epoch
    }
}

/// A hint that a server has a prefix cached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hint {
    /// The server.
    pub(crate) server: ServerKey,
    /// The server's epoch when the hint was stored. The hint is invalid in any other epoch.
    pub(crate) epoch: u32,
    /// When the server was first reported to hold the prefix or to be prefilling it.
    pub(crate) since: Millis,
}

/// Maximum number of servers remembered for a prefix. Several servers hold a popular prefix; the
/// hint that was confirmed longest ago is replaced.
const MAX_HOLDERS: usize = 4;

/// A bounded map from prefix to hints, in two generations. The older generation is dropped when the
/// younger one is full.
#[derive(Clone, Debug)]
pub(crate) struct Hints {
    young: HashMap<u64, Vec<Hint>>,
    old: HashMap<u64, Vec<Hint>>,
    generation_limit: usize,
}

impl Hints {
    /// Creates a map that holds the hints of at most `limit` prefixes.
    pub(crate) fn new(limit: usize) -> Hints {
        Hints {
            young: HashMap::new(),
            old: HashMap::new(),
            generation_limit: limit / 2,
        }
    }

    /// Stores `hint` as the most recently confirmed hint for `prefix`.
    pub(crate) fn store(&mut self, prefix: u64, hint: Hint) {
        if self.generation_limit == 0 {
            return;
        }
        let stored = self.young_entry(prefix);
        let same = |stored: &Hint| stored.server == hint.server && stored.epoch == hint.epoch;
        let before = stored.iter().copied().find(same);
        let since = before.map_or(hint.since, |before| before.since.min(hint.since));
        stored.retain(|stored| stored.server != hint.server);
        stored.insert(0, Hint { since, ..hint });
        stored.truncate(MAX_HOLDERS);
    }

    /// Removes the hint that `server` holds `prefix`.
    pub(crate) fn evict(&mut self, prefix: u64, server: ServerKey) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(stored) = generation.get_mut(&prefix) {
                stored.retain(|stored| stored.server != server);
            }
        }
    }

    /// Returns the hints for `prefix`, most recently confirmed first.
    pub(crate) fn get(&self, prefix: u64) -> &[Hint] {
        let stored = self.young.get(&prefix).or_else(|| self.old.get(&prefix));
        stored.map_or(&[], Vec::as_slice)
    }

    fn young_entry(&mut self, prefix: u64) -> &mut Vec<Hint> {
        if !self.young.contains_key(&prefix) {
            let stored = self.old.remove(&prefix).unwrap_or_default();
            if self.young.len() >= self.generation_limit {
                self.old = std::mem::take(&mut self.young);
            }
            self.young.insert(prefix, stored);
        }
        self.young.entry(prefix).or_default()
    }
}
