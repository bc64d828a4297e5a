//! Whether this instance is behind what others have read of the store.
//!
//! The load it answers: two hundred instances that each wait at the store with a watch. A connection may go
//! silent, and an answer get lost, without a sign; so each watch was renewed every few seconds, which was most
//! of the store's calls. Now instances tell each other the newest revision that they saw a change at. One that
//! hears of a change that its own watch doesn't bring gives that watch up and reads; with many around, the
//! watches themselves may wait long.

use crocushold_base::Millis;

/// How long a change may be known to others before this instance's watch is given up. Watches bring a change
/// within milliseconds of each other; what is told takes a round or two.
const GRACE: Millis = Millis(300);

/// The longest wait of a watch: below the time for which the store keeps its history, 20 s on the platforms of
/// today, beyond which all would have to be listed anew.
const MOST_WAIT: Millis = Millis::from_secs(15);

/// Instances of a zone that share the duty of one watch of the shortest wait. When all connections go silent at
/// once, some instance of the zone still renews its watch within the shortest wait, as the waits differ.
const SHARERS: u64 = 4;

/// What others have read, against what this instance has.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// The newest revision of a change that anybody saw.
    newest: u64,
    /// Since when this instance waits for it.
    since: Option<Millis>,
    /// The newest one for which a watch was given up. Once is enough: a number that is wrong must not cost a
    /// call each round.
    tried: u64,
}

impl Lag {
    /// Somebody saw a change at `revision`.
    pub fn hear(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
    }

    /// The newest revision of a change that is known of, to tell it on.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Whether the watch that waits for changes after `at` should be given up; none waits where that is `None`.
    pub fn is_behind(&mut self, at: Option<u64>, now: Millis) -> bool {
        let behind = at.is_some_and(|at| self.newest > at.max(self.tried));
        if !behind {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let due = now.since(since) >= GRACE;
        if due {
            self.tried = self.newest;
            self.since = None;
        }
        due
    }
}

/// How long a watch waits, where `live` other instances of the zone tell of changes; `least` where none does.
pub fn watch_wait(least: Millis, live: usize) -> Millis {
    let scaled = Millis(least.0.saturating_mul(live as u64 + 1) / SHARERS);
    scaled.min(MOST_WAIT).max(least)
}
