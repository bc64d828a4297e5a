//! Detects that this instance's watch of the store lags behind those of other instances.
//!
//! A watch whose connection went silent, or whose answer was lost, shows nothing until its wait is
//! over. Instances therefore gossip the newest revision at which they know of a change. An instance
//! that hears of a change which its own watch doesn't deliver cancels that watch and reads again.
//!
//! This doesn't permit longer waits of watches. The store may fail all watches at once, for example
//! if it loses its history. No instance then knows of the change, which must still be in force
//! within seconds.

use crocushold_base::Millis;

use crate::era::Revision;

/// How long other instances may know of a change before this instance's watch is cancelled. Watches
/// deliver a change within milliseconds of each other, and gossip takes one or two rounds.
pub(crate) const WATCH_GRACE: Millis = Millis(300);

/// The newest revision known to other instances, compared to this one's watch.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// The newest revision at which any instance saw a change.
    newest: Revision,
    /// Since when this instance has been behind.
    since: Option<Millis>,
    /// The newest revision for which a watch was cancelled. Cancelling once is enough: a wrong
    /// revision must not cost a call in every round.
    cancelled: Revision,
}

impl Lag {
    /// Records that an instance saw a change at `revision`.
    pub fn observe(&mut self, revision: Revision) {
        self.newest = self.newest.max(revision);
    }

    /// The newest known revision of a change, for gossip.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Returns whether the watch for changes after `at` should be cancelled. `at` is `None` if
    /// there is no watch.
    pub fn is_behind(&mut self, at: Option<Revision>, now: Millis) -> bool {
        let behind = at.is_some_and(|at| self.newest > at.max(self.cancelled));
        if !behind {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let due = now.since(since) >= WATCH_GRACE;
        if due {
            self.cancelled = self.newest;
            self.since = None;
        }
        due
    }
}
