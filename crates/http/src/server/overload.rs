//! Detects that connections wait for processor time, and decides which are turned away.

use crocushold_base::Millis;

#[cfg(test)]
mod tests;

/// Time that a connection may wait for its task to start without any doubt that requests are served in time.
/// A processor quota holds a process for most of a tenth of a second.
const SHORT_WAIT: Millis = Millis(100);

/// How long all waits must have been longer for the queue to count as standing.
const STANDING_TIME: Millis = Millis(200);

/// Time after which a wait says nothing any more about later ones.
const MEMORY: Millis = Millis(1000);

/// Whether accepted connections wait for processor time.
///
/// This is the rule of controlled delay (CoDel): a burst may wait, but where not even one connection in a while
/// starts soon, more come than can be served. Requests that are read then would be answered late, if at all, and
/// their callers couldn't turn to another instance any more.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Overload {
    /// When the first of the latest, uninterrupted series of long waits ended.
    standing_since: Option<Millis>,
    last: Millis,
}

impl Overload {
    /// Records that a connection has waited for `waited` when its task starts at `now`. Returns whether it is
    /// turned away.
    pub(crate) fn turns_away(&mut self, waited: Millis, now: Millis) -> bool {
        let is_recent = now.since(self.last) < MEMORY;
        self.last = now;
        if waited <= SHORT_WAIT {
            self.standing_since = None;
            return false;
        }
        let since = self.standing_since.filter(|_| is_recent).unwrap_or(now);
        self.standing_since = Some(since);
        now.since(since) >= STANDING_TIME
    }
}
