//! Recently served requests and parts of prompts.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::VecDeque;

use crocushold_base::Millis;

use super::Fingerprint;
use super::ServedContent;
use super::record::ago;
use super::signed;

/// Maximum number of remembered successes: about a minute of them at an instance of a large fleet.
const CAPACITY: usize = 2048;

/// How long a request is remembered. A new version of the servers may not withstand what the
/// previous version did.
const SPAN: Millis = Millis::from_secs(60);

/// Number of successes from which on other instances are told. What is served once is hardly asked for
/// again.
const MIN_REPEATS: u32 = 2;

/// Number of other instances that are told of a content before any of them asks. Instances may be lost
/// together, and with them the memory of what they have just begun to serve.
const TELLS: u8 = 3;

/// Maximum number of contents that wait until other instances are told.
const MAX_UNTOLD: usize = 256;

/// The successes of one request or part.
#[derive(Clone, Copy, Debug)]
struct Successes {
    /// Time of the last one, which may lie before the start of this instance's clock.
    last: i64,
    count: u32,
}

impl Successes {
    fn report(&self, content: Fingerprint, now: Millis) -> ServedContent {
        ServedContent {
            content,
            served_ago: ago(signed(now), self.last),
        }
    }
}

/// Recently served requests, or parts, with their times.
#[derive(Debug, Default)]
pub(super) struct RecentlyServed {
    contents: HashMap<Fingerprint, Successes>,
    /// In the order in which they were recorded. A request that was served repeatedly appears more than once.
    order: VecDeque<(Fingerprint, i64)>,
    /// Contents that were just served here repeatedly, and how many instances are still to be told of each.
    untold: VecDeque<(Fingerprint, u8)>,
}

impl RecentlyServed {
    /// Records a success at this instance.
    pub(super) fn insert(&mut self, content: Fingerprint, time: Millis) {
        self.record(content, signed(time), 1);
        let count = self.contents.get(&content).map(|known| known.count);
        if count == Some(MIN_REPEATS) && self.untold.len() < MAX_UNTOLD {
            self.untold.push_back((content, TELLS));
        }
    }

    /// Records successes that another instance reports.
    pub(super) fn insert_reported(&mut self, served: &ServedContent, now: Millis) {
        let time = signed(now) - i64::from(served.served_ago);
        self.record(served.content, time, MIN_REPEATS);
    }

    fn record(&mut self, content: Fingerprint, time: i64, count: u32) {
        if let Some(known) = self.contents.get_mut(&content) {
            known.count = known.count.saturating_add(count);
            if known.last >= time {
                return;
            }
            known.last = time;
        } else {
            let successes = Successes { last: time, count };
            self.contents.insert(content, successes);
        }
        self.order.push_back((content, time));
        if self.order.len() > CAPACITY {
            self.evict_oldest();
        }
    }

    pub(super) fn contains(&self, content: Fingerprint, now: Millis) -> bool {
        let known = self.contents.get(&content);
        known.is_some_and(|known| signed(now) - known.last < signed(SPAN))
    }

    /// When it was last served, if that is remembered.
    pub(super) fn time(&self, content: Fingerprint) -> Option<i64> {
        self.contents.get(&content).map(|known| known.last)
    }

    /// Returns at most `count` contents that were served repeatedly of late, those served most often first.
    pub(super) fn repeated(&self, count: usize, now: Millis) -> Vec<ServedContent> {
        let known = self.contents.iter();
        let mut repeated: Vec<(Fingerprint, Successes)> = known
            .filter(|(content, known)| known.count >= MIN_REPEATS && self.contains(**content, now))
            .map(|(content, known)| (*content, *known))
            .collect();
        repeated.sort_unstable_by_key(|(content, known)| {
            (Reverse(known.count), Reverse(known.last), *content)
        });
        let reported = repeated.into_iter().take(count);
        reported
            .map(|(content, known)| known.report(content, now))
            .collect()
    }

    /// Takes at most `count` contents that were just served repeatedly, to tell one instance of them.
    pub(super) fn take_untold(&mut self, count: usize, now: Millis) -> Vec<ServedContent> {
        let mut taken = Vec::new();
        for _ in 0..count.min(self.untold.len()) {
            let Some((content, tells)) = self.untold.pop_front() else {
                break;
            };
            if let Some(known) = self.contents.get(&content) {
                taken.push(known.report(content, now));
            }
            if tells > 1 {
                self.untold.push_back((content, tells - 1));
            }
        }
        taken
    }

    fn evict_oldest(&mut self) {
        let Some((content, time)) = self.order.pop_front() else {
            return;
        };
        if self.time(content) == Some(time) {
            self.contents.remove(&content);
        }
    }
}
