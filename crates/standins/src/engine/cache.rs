//! The prefix cache: a bounded set of prompt prefixes with LRU eviction.

use std::collections::BTreeMap;
use std::collections::HashMap;

use twox_hash::XxHash3_64;

/// Length of a prompt's prefix, in bytes.
const PREFIX_BYTES: usize = 256;

/// Returns the 64-bit XXH3 hash of the first 256 bytes of `prompt`, in hexadecimal.
pub fn prefix_hash(prompt: &str) -> String {
    let bytes = prompt.as_bytes();
    let head = &bytes[..bytes.len().min(PREFIX_BYTES)];
    format!("{:016x}", XxHash3_64::oneshot(head))
}

/// The result of a cache lookup.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Lookup {
    /// Whether the prefix was cached.
    pub(super) hit: bool,
    /// The prefix that was evicted to make room.
    pub(super) evicted: Option<String>,
}

/// The cached prefixes.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: usize,
    clock: u64,
    last_use: HashMap<String, u64>,
    by_last_use: BTreeMap<u64, String>,
}

impl PrefixCache {
    pub(super) fn new(limit: usize) -> PrefixCache {
        PrefixCache {
            limit: limit.max(1),
            clock: 0,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Looks up a prefix, inserts it if absent, and makes it the most recently used one.
    pub(super) fn touch(&mut self, prefix: &str) -> Lookup {
        self.clock += 1;
        let before = self.last_use.insert(prefix.to_owned(), self.clock);
        if let Some(before) = before {
            self.by_last_use.remove(&before);
        }
        self.by_last_use.insert(self.clock, prefix.to_owned());
        let evicted = self.evict();
        Lookup {
            hit: before.is_some(),
            evicted,
        }
    }

    pub(super) fn clear(&mut self) {
        self.last_use.clear();
        self.by_last_use.clear();
    }

    fn evict(&mut self) -> Option<String> {
        if self.by_last_use.len() <= self.limit {
            return None;
        }
        let (_, prefix) = self.by_last_use.pop_first()?;
        self.last_use.remove(&prefix);
        Some(prefix)
    }
}
