//! Suspicion of one's own pause.

use crocushold_base::Millis;

/// Notices that this process stood still for longer than a lease.
///
/// A process that was stopped wakes with the view that it had, and with queued messages that read
/// as fresh. The others may have replaced it meanwhile. Feed the guard the time at each event and
/// each tick (ticks come much more often than a lease): a gap longer than the lease means that the
/// view is no longer to be trusted, until the membership says that this instance has rejoined.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    lease: Millis,
    last: Millis,
    suspended: bool,
}

impl PauseDetector {
    /// A guard that trusts the view as of `now`.
    pub fn new(lease: Millis, now: Millis) -> PauseDetector {
        PauseDetector {
            lease,
            last: now,
            suspended: false,
        }
    }

    /// Takes note of the time; true when a pause ended with this call.
    pub fn observe(&mut self, now: Millis) -> bool {
        let gap = now.since(self.last);
        self.last = self.last.max(now);
        if gap <= self.lease {
            return false;
        }
        self.suspended = true;
        true
    }

    /// The membership has confirmed the view after the pause.
    pub fn on_rejoined(&mut self) {
        self.suspended = false;
    }

    /// Whether the view may not be acted upon.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }
}
