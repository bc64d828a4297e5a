//! Token buckets.

use crocushold_base::Millis;

/// A token bucket that refills lazily. Its level may become negative when a settlement takes more
/// than was reserved.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    capacity: f64,
    level: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// A full bucket that refills by `rate` tokens per second. Its capacity is what accrues during
    /// `burst`, at least 1.
    pub(crate) fn new(rate: f64, burst: Millis, now: Millis) -> TokenBucket {
        let capacity = burst_capacity(rate, burst);
        TokenBucket {
            rate: rate.max(0.0),
            capacity,
            level: capacity,
            refilled_at: now,
        }
    }

    /// Changes the rate. The current level is kept, up to the new capacity.
    pub(crate) fn set_rate(&mut self, rate: f64, burst: Millis, now: Millis) {
        self.refill(now);
        self.rate = rate.max(0.0);
        self.capacity = burst_capacity(rate, burst);
        // An unlimited bucket has no finite level to keep.
        self.level = if self.level.is_finite() {
            self.level.min(self.capacity)
        } else {
            self.capacity
        };
    }

    /// Time until `amount` can be taken; zero if it can be taken now.
    ///
    /// An amount above the capacity is admitted once the bucket is full and leaves the level
    /// negative; otherwise a request larger than the bucket could never run.
    pub(crate) fn wait(&mut self, amount: f64, now: Millis) -> Millis {
        self.refill(now);
        let missing = amount.min(self.capacity) - self.level;
        if missing <= 0.0 || self.capacity.is_infinite() {
            return Millis::ZERO;
        }
        if self.rate <= 0.0 {
            return Millis::MAX;
        }
        Millis((missing / self.rate * 1000.0).ceil() as u64)
    }

    /// Takes `amount`, going negative if necessary. A negative amount is a refund.
    pub(crate) fn take(&mut self, amount: f64) {
        if self.capacity.is_finite() {
            self.level = (self.level - amount).min(self.capacity);
        }
    }

    /// Adds what accrued since the last call, up to the capacity, so a process that resumes after a
    /// long suspension finds a full bucket and never more.
    fn refill(&mut self, now: Millis) {
        let secs = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        if self.capacity.is_finite() {
            self.level = (self.level + secs * self.rate).min(self.capacity);
        }
    }
}

fn burst_capacity(rate: f64, burst: Millis) -> f64 {
    if rate.is_infinite() {
        return f64::INFINITY;
    }
    (rate * burst.as_secs_f64()).max(1.0)
}
