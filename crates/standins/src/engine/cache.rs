//! The prefix cache: a bounded set of prompt prefixes, least recently used out first.

use std::collections::BTreeMap;
use std::collections::HashMap;

use twox_hash::XxHash3_64;

/// Bytes of the prompt that make up its prefix.
const PREFIX_BYTES: usize = 256;

/// The prefix of a prompt: the 64-bit XXH3 hash of its first 256 bytes, in hexadecimal.
pub fn prefix_hash(prompt: &str) -> String {
    let bytes = prompt.as_bytes();
    let head = &bytes[..bytes.len().min(PREFIX_BYTES)];
    format!("{:016x}", XxHash3_64::oneshot(head))
}

/// What using a prefix did to the cache.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Lookup {
    /// Whether the prefix was there.
    pub(super) hit: bool,
    /// The prefix that had to go to make room.
    pub(super) evicted: Option<String>,
}

/// The prefixes that are held.
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

    /// Uses a prefix: it is the youngest afterwards.
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
