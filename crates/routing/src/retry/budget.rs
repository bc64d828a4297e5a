//! The retry budget: a token bucket filled by first attempts.

use crocushold_base::Millis;

/// Settings of a retry budget.
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Retries allowed per second regardless of traffic, so that a quiet service can retry at all.
    pub floor: f64,
    /// Maximum number of accumulated retries.
    pub burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> BudgetSettings {
        BudgetSettings {
            ratio: 0.1,
            floor: 1.0,
            burst: 10.0,
        }
    }
}

/// A token bucket of retries.
///
/// Without it, servers that fail under overload receive every request several times, which keeps
/// them overloaded after the burst that caused it. With it, retries add at most `ratio` to the
/// traffic however many requests fail.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: BudgetSettings,
    tokens: f64,
    filled: Millis,
}

impl Budget {
    /// Creates a bucket with `burst` retries.
    pub fn new(settings: BudgetSettings, now: Millis) -> Budget {
        Budget {
            tokens: settings.burst,
            filled: now,
            settings,
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self, now: Millis) {
        self.refill(now);
        self.add(self.settings.ratio);
    }

    /// Takes one retry. Returns false if there is none.
    pub fn withdraw(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns how long the floor alone takes to add one retry.
    pub fn wait(&self) -> Millis {
        let lacking = (1.0 - self.tokens).max(0.0);
        Millis((lacking / self.settings.floor.max(0.001) * 1000.0).ceil() as u64)
    }

    fn refill(&mut self, now: Millis) {
        let span = now.since(self.filled);
        self.filled = self.filled.max(now);
        self.add(span.as_secs_f64() * self.settings.floor);
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.burst);
    }
}
