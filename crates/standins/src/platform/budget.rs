//! The read budget shared by all readers.

use crocushold_base::Millis;

/// Length of the fixed window in which reads are counted.
const WINDOW: Millis = Millis(1000);

/// A fixed-window rate limiter for reads.
#[derive(Debug)]
pub(super) struct ReadBudget {
    limit: u64,
    window_start: Millis,
    used: u64,
    peak: u64,
    refused: u64,
}

impl ReadBudget {
    pub(super) fn new(limit: u64) -> ReadBudget {
        ReadBudget {
            limit,
            window_start: Millis::ZERO,
            used: 0,
            peak: 0,
            refused: 0,
        }
    }

    pub(super) fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Consumes one read; returns false if the budget of the current window is exhausted.
    pub(super) fn try_acquire(&mut self, now: Millis) -> bool {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.used = 0;
        }
        if self.used >= self.limit {
            self.refused += 1;
            return false;
        }
        self.used += 1;
        self.peak = self.peak.max(self.used);
        true
    }

    /// Returns the maximum number of reads granted in one window.
    pub(super) fn peak(&self) -> u64 {
        self.peak
    }

    pub(super) fn refused(&self) -> u64 {
        self.refused
    }
}
