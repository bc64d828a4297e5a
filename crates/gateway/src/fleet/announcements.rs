//! Which holdings of engines are told to the other instances, and when again.

use std::collections::HashMap;

use crocushold_base::Millis;

use crate::gossip::CachedPrefix;
use crate::gossip::MOST_KEPT;

/// How long a holding that was told or heard isn't told again. It bounds what is told: each part in use
/// once in this span for each engine that holds it, whatever the number of requests and instances.
const QUIET: Millis = Millis::from_secs(5);

/// The shortest shared part that is told of, in tokens. Reading one of 1,000 takes 20 ms, less than it
/// costs to be wrong about its place.
const LEAST_SHARED: u32 = 1000;

/// Holdings of which it is remembered when they were told.
const MOST_HELD: usize = 4096;

/// Holdings that wait to be told at most.
const MOST_WAITING: usize = 64;

/// What this instance has to tell of the places that it sent requests to.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    /// When each was last told or heard.
    told: HashMap<CachedPrefix, Millis>,
    waiting: Vec<CachedPrefix>,
}

impl Announcements {
    /// A request that shares `shared` tokens of its prompt was sent.
    pub(super) fn sent(&mut self, cached: CachedPrefix, shared: u32, now: Millis) {
        let quiet = |at: &Millis| now.since(*at) < QUIET;
        if shared < LEAST_SHARED || self.told.get(&cached).is_some_and(quiet) {
            return;
        }
        if self.waiting.len() < MOST_WAITING {
            self.waiting.push(cached);
            self.note(cached, now);
        }
    }

    /// Another instance told it.
    pub(super) fn heard(&mut self, cached: CachedPrefix, now: Millis) {
        self.note(cached, now);
    }

    /// What is to be told in this round: as much as fits into a message.
    pub(super) fn take(&mut self) -> Vec<CachedPrefix> {
        let count = self.waiting.len().min(MOST_KEPT);
        self.waiting.drain(..count).collect()
    }

    fn note(&mut self, cached: CachedPrefix, now: Millis) {
        if self.told.len() >= MOST_HELD {
            self.told.retain(|_, at| now.since(*at) < QUIET);
        }
        if self.told.len() < MOST_HELD {
            self.told.insert(cached, now);
        }
    }
}
