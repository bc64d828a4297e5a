//! Whether this instance is behind what others have read of the store.
//!
//! The load it answers: a watch whose connection went silent, or whose answer was lost, gives no sign until its wait
//! is over. Instances tell each other the newest revision that they know of a change at; one that hears of a change
//! that its own watch doesn't bring gives that watch up and reads.
//!
//! Watches don't wait longer for it. The store may fail all of them at once, as when it forgets its history; then
//! nobody knows, and a change must be in force within seconds all the same.

use crocushold_base::Millis;

use crate::era::Revision;

/// How long a change may be known to others before this instance's watch is given up. Watches bring a change
/// within milliseconds of each other; what is told takes a round or two.
const GRACE: Millis = Millis(300);

/// What others have read, against what this instance has.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// The newest revision of a change that anybody saw.
    newest: Revision,
    /// Since when this instance waits for it.
    since: Option<Millis>,
    /// The newest one for which a watch was given up. Once is enough: a number that is wrong must not cost a
    /// call each round.
    tried: Revision,
}

impl Lag {
    /// Somebody saw a change at `revision`.
    pub fn observe(&mut self, revision: Revision) {
        self.newest = self.newest.max(revision);
    }

    /// The newest revision of a change that is known of, to tell it on.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Whether the watch that waits for changes after `at` should be given up; none waits where that is `None`.
    pub fn is_behind(&mut self, at: Option<Revision>, now: Millis) -> bool {
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
