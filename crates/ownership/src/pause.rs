//! Detection of pauses of this process.

use crocushold_base::Millis;

/// Detects that this process was paused for longer than a lease.
///
/// A process that was stopped resumes with the view from before the pause and with queued messages
/// that appear to be new. The other members may have replaced it in the meantime. Pass the time to
/// the detector at each event and each tick (ticks must be much more frequent than a lease): after
/// a gap longer than the lease, the view must not be trusted until the membership confirms that
/// this instance has rejoined.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    lease: Millis,
    last_seen: Millis,
    suspended: bool,
}

impl PauseDetector {
    /// A detector that trusts the view as of `now`.
    pub fn new(lease: Millis, now: Millis) -> PauseDetector {
        PauseDetector {
            lease,
            last_seen: now,
            suspended: false,
        }
    }

    /// Updates the time; returns true if a pause ended with this call.
    pub fn observe(&mut self, now: Millis) -> bool {
        let gap = now.since(self.last_seen);
        self.last_seen = self.last_seen.max(now);
        if gap <= self.lease {
            return false;
        }
        self.suspended = true;
        true
    }

    /// Handles the confirmation of the view by the membership after a pause.
    pub fn on_rejoined(&mut self) {
        self.suspended = false;
    }

    /// Whether the view must not be acted on.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }
}
