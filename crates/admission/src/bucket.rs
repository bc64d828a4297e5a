//! Token buckets.

use crocushold_base::Millis;

/// A token bucket that refills lazily. It may be driven into debt by a settlement.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    rate: f64,
    cap: f64,
    level: f64,
    at: Millis,
}

impl Bucket {
    /// A full bucket that refills by `rate` a second and holds what `burst` brings, one at least.
    pub(crate) fn new(rate: f64, burst: Millis, now: Millis) -> Bucket {
        let cap = capacity(rate, burst);
        Bucket {
            rate: rate.max(0.0),
            cap,
            level: cap,
            at: now,
        }
    }

    /// Changes the rate; what was saved up is kept as far as the new bucket holds it.
    pub(crate) fn set_rate(&mut self, rate: f64, burst: Millis, now: Millis) {
        self.refill(now);
        self.rate = rate.max(0.0);
        self.cap = capacity(rate, burst);
        // From unlimited to limited there is no level to keep.
        self.level = if self.level.is_finite() {
            self.level.min(self.cap)
        } else {
            self.cap
        };
    }

    /// The time until `amount` can be taken; zero when it can be now.
    ///
    /// An amount above the capacity is let through once the bucket is full, and leaves a debt:
    /// otherwise a single large request could never run.
    pub(crate) fn wait(&mut self, amount: f64, now: Millis) -> Millis {
        self.refill(now);
        let missing = amount.min(self.cap) - self.level;
        if missing <= 0.0 || self.cap.is_infinite() {
            return Millis::ZERO;
        }
        if self.rate <= 0.0 {
            return Millis::MAX;
        }
        Millis((missing / self.rate * 1000.0).ceil() as u64)
    }

    /// Takes `amount`, into debt if need be; a negative amount is a refund.
    pub(crate) fn take(&mut self, amount: f64) {
        if self.cap.is_finite() {
            self.level = (self.level - amount).min(self.cap);
        }
    }

    /// Adds what the time since the last call brings, up to the capacity: a process that wakes
    /// after a long pause finds a full bucket, never more.
    fn refill(&mut self, now: Millis) {
        let secs = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        if self.cap.is_finite() {
            self.level = (self.level + secs * self.rate).min(self.cap);
        }
    }
}

fn capacity(rate: f64, burst: Millis) -> f64 {
    if rate.is_infinite() {
        return f64::INFINITY;
    }
    (rate * burst.as_secs_f64()).max(1.0)
}
