//! How often the platform may be called.

use std::hash::DefaultHasher;
use std::hash::Hasher;

use crocushold_base::Millis;

/// Seeded random spans.
///
/// Instances that fail together would otherwise retry together; each has its own seed. A keyed hash
/// of a counter is random enough for that, and repeatable in tests.
#[derive(Clone, Debug)]
pub struct Jitter {
    seed: u64,
    drawn: u64,
}

impl Jitter {
    /// A sequence for this seed.
    pub fn new(seed: u64) -> Jitter {
        Jitter { seed, drawn: 0 }
    }

    /// The next span, from zero to `bound`.
    pub fn up_to(&mut self, bound: Millis) -> Millis {
        let mut hasher = DefaultHasher::new();
        hasher.write_u64(self.seed);
        hasher.write_u64(self.drawn);
        self.drawn += 1;
        Millis(hasher.finish() % bound.0.saturating_add(1))
    }
}

/// Bounds of a [`Backoff`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Longest pause after the first failure.
    pub initial_pause: Millis,
    /// Longest pause after many.
    pub max_pause: Millis,
    /// Longest `Retry-After` that is honoured: a mistaken one must not silence a reader for ever.
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

/// Exponential pauses; half of each is random.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
}

impl Backoff {
    /// No failure yet.
    pub fn new(settings: BackoffSettings) -> Backoff {
        Backoff {
            settings,
            failures: 0,
        }
    }

    /// Counts a failure and returns the pause before the next call.
    pub fn next_pause(&mut self, jitter: &mut Jitter) -> Millis {
        let factor = 1u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let longest = self.settings.initial_pause.0.saturating_mul(factor);
        let longest = longest.min(self.settings.max_pause.0);
        self.failures = self.failures.saturating_add(1);
        let half = Millis(longest / 2);
        half + jitter.up_to(half)
    }

    /// The pause that a `Retry-After` asks for, bounded, and never cut short by the jitter.
    pub fn retry_after(&self, asked: Millis, jitter: &mut Jitter) -> Millis {
        let pause = asked.min(self.settings.max_retry_after);
        pause + jitter.up_to(self.settings.initial_pause)
    }

    /// Forgets the failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
