//! When the bytes of an answer arrive.

use crocushold_base::Millis;

#[cfg(test)]
mod tests;

/// Shortest time in which a process that has ended is replaced by another one that listens at its
/// address.
const MIN_RESTART: Millis = Millis(500);

/// Time in which everything arrives that a path has held back, once it is open again.
const BACKLOG_SPAN: Millis = Millis(250);

/// Tracks the silences of an answer.
///
/// A path that is cut holds back the end of a connection as well as bytes. What arrives just after a long silence
/// may thus be older than the silence, and says nothing of who listens at the server's address now.
#[derive(Debug)]
pub(super) struct Arrivals {
    /// When the last bytes arrived.
    last: Millis,
    /// How long the head was awaited.
    awaited: Millis,
    /// When the last long silence ended.
    resumed: Option<Millis>,
}

impl Arrivals {
    /// Starts with the arrival of the head.
    pub(super) fn new(head: Millis) -> Arrivals {
        Arrivals {
            last: head,
            awaited: Millis::ZERO,
            resumed: None,
        }
    }

    /// Sets how long the head was awaited.
    pub(super) fn set_awaited(&mut self, span: Millis) {
        self.awaited = span;
    }

    /// Counts the wait for the head as a silence: it was sent with the first bytes of the body, when that
    /// was ready.
    pub(super) fn count_wait(&mut self) {
        if self.awaited >= MIN_RESTART {
            self.resumed = Some(self.last);
        }
    }

    /// Records that bytes, or the end of the connection, have arrived.
    pub(super) fn record(&mut self, now: Millis) {
        if now.since(self.last) >= MIN_RESTART {
            self.resumed = Some(now);
        }
        self.last = now;
    }

    /// Whether what has arrived last may have been held back for so long that the server can have ended
    /// and been replaced.
    pub(super) fn is_held_back(&self) -> bool {
        self.resumed
            .is_some_and(|resumed| self.last.since(resumed) < BACKLOG_SPAN)
    }
}
