//! Recently served requests and parts of prompts.

use std::collections::HashMap;
use std::collections::VecDeque;

use crocushold_base::Millis;

use super::Fingerprint;

/// Maximum number of remembered successes: about a minute of them at an instance of a large fleet.
const CAPACITY: usize = 2048;

/// How long a request is remembered. A new version of the servers may not withstand what the
/// previous version did.
const SPAN: Millis = Millis::from_secs(60);

/// Recently served requests, or parts, with their times.
#[derive(Debug, Default)]
pub(super) struct RecentlyServed {
    times: HashMap<Fingerprint, Millis>,
    /// In the order in which they were recorded. A request that was served repeatedly appears more than once.
    order: VecDeque<(Fingerprint, Millis)>,
}

impl RecentlyServed {
    pub(super) fn insert(&mut self, content: Fingerprint, time: Millis) {
        let known = self.times.get(&content);
        if known.is_some_and(|known| *known >= time) {
            return;
        }
        self.times.insert(content, time);
        self.order.push_back((content, time));
        if self.order.len() > CAPACITY {
            self.evict_oldest();
        }
    }

    pub(super) fn contains(&self, content: Fingerprint, now: Millis) -> bool {
        let time = self.times.get(&content);
        time.is_some_and(|time| now.since(*time) < SPAN)
    }

    /// When it was last served, if that is remembered.
    pub(super) fn time(&self, content: Fingerprint) -> Option<Millis> {
        self.times.get(&content).copied()
    }

    fn evict_oldest(&mut self) {
        let Some((content, time)) = self.order.pop_front() else {
            return;
        };
        if self.times.get(&content) == Some(&time) {
            self.times.remove(&content);
        }
    }
}
