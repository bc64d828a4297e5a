//! Exponential backoff with jitter.

use std::hash::DefaultHasher;
use std::hash::Hasher;

use crocushold_base::Millis;

/// A seeded generator of random durations.
///
/// Each instance has its own seed, since instances that fail together would otherwise retry
/// together. A keyed hash of a counter is random enough for this and reproducible in tests.
#[derive(Clone, Debug)]
pub struct Jitter {
    seed: u64,
    counter: u64,
}

impl Jitter {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> Jitter {
        Jitter { seed, counter: 0 }
    }

    /// Returns the next duration, from zero to `bound` inclusive.
    pub fn up_to(&mut self, bound: Millis) -> Millis {
        let mut hasher = DefaultHasher::new();
        hasher.write_u64(self.seed);
        hasher.write_u64(self.counter);
        self.counter += 1;
        Millis(hasher.finish() % bound.0.saturating_add(1))
    }
}

/// Limits of a [`Backoff`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Longest pause after the first failure.
    pub initial_pause: Millis,
    /// Longest pause after any number of failures.
    pub max_pause: Millis,
    /// Longest `Retry-After` that is honoured, so that a wrong value can't stop a reader forever.
    pub max_retry_after: Millis,
}

impl Default for BackoffSettings {
    fn default() -> BackoffSettings {
        BackoffSettings {
            initial_pause: Millis(250),
            max_pause: Millis::from_secs(4),
            max_retry_after: Millis::from_secs(60),
        }
    }
}

/// Exponentially growing pauses. Half of each pause is random.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub fn new(settings: BackoffSettings) -> Backoff {
        Backoff {
            settings,
            failures: 0,
        }
    }

    /// Records a failure and returns the pause before the next call.
    pub fn next_pause(&mut self, jitter: &mut Jitter) -> Millis {
        let factor = 1u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let longest = self.settings.initial_pause.0.saturating_mul(factor);
        let longest = longest.min(self.settings.max_pause.0);
        self.failures = self.failures.saturating_add(1);
        let half = Millis(longest / 2);
        half + jitter.up_to(half)
    }

    /// Returns the pause for a `Retry-After` value. It is bounded by
    /// [`BackoffSettings::max_retry_after`], and jitter only lengthens it.
    pub fn retry_after(&self, asked: Millis, jitter: &mut Jitter) -> Millis {
        let pause = asked.min(self.settings.max_retry_after);
        pause + jitter.up_to(self.settings.initial_pause)
    }

    /// Resets the failure count.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
