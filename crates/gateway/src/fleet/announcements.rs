//! Announcements of cached prefixes to the other instances.

use std::collections::HashMap;

use crocushold_base::Millis;

use crate::sharing::CachedPrefix;
use crate::sharing::MAX_CACHED_PREFIXES;

/// Minimum interval between announcements of the same cached prefix. It bounds the traffic: each
/// prefix in use is announced once per interval for each engine that holds it, independent of the
/// number of requests and instances.
const REANNOUNCE_INTERVAL: Millis = Millis::from_secs(5);

/// Shortest prefix to announce, in tokens. Prefilling 1,000 tokens takes 20 ms, which is less than
/// a wrong placement costs.
const MIN_SHARED_TOKENS: u32 = 1000;

/// Maximum number of cached prefixes whose last announcement is remembered.
const MAX_TRACKED: usize = 4096;

/// Maximum number of queued announcements.
const MAX_QUEUED: usize = 64;

/// Queue of announcements of the prefixes that this instance sent to engines.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    /// When each prefix was last announced, by this instance or by another one.
    last_announced: HashMap<CachedPrefix, Millis>,
    queue: Vec<CachedPrefix>,
}

impl Announcements {
    /// Queues an announcement for a sent request with a shared prefix of `shared_tokens`.
    pub(super) fn add(&mut self, cached: CachedPrefix, shared_tokens: u32, now: Millis) {
        let recent = |at: &Millis| now.since(*at) < REANNOUNCE_INTERVAL;
        if shared_tokens < MIN_SHARED_TOKENS || self.last_announced.get(&cached).is_some_and(recent)
        {
            return;
        }
        if self.queue.len() < MAX_QUEUED {
            self.queue.push(cached);
            self.record(cached, now);
        }
    }

    /// Records an announcement by another instance.
    pub(super) fn record_received(&mut self, cached: CachedPrefix, now: Millis) {
        self.record(cached, now);
    }

    /// Takes the announcements of this round: as many as fit into a message.
    pub(super) fn take(&mut self) -> Vec<CachedPrefix> {
        let count = self.queue.len().min(MAX_CACHED_PREFIXES);
        self.queue.drain(..count).collect()
    }

    fn record(&mut self, cached: CachedPrefix, now: Millis) {
        if self.last_announced.len() >= MAX_TRACKED {
            self.last_announced
                .retain(|_, at| now.since(*at) < REANNOUNCE_INTERVAL);
        }
        if self.last_announced.len() < MAX_TRACKED {
            self.last_announced.insert(cached, now);
        }
    }
}
