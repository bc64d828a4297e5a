//! Exponentially decaying sums and ratios.

use std::f64::consts::LN_2;

use crocushold_base::Millis;

/// A sum that decays by half every half-life.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingSum {
    value: f64,
    updated_at: Millis,
    half_life: Millis,
}

impl DecayingSum {
    pub(crate) fn new(half_life: Millis) -> DecayingSum {
        DecayingSum {
            value: 0.0,
            updated_at: Millis::ZERO,
            half_life: half_life.max(Millis(1)),
        }
    }

    pub(crate) fn add(&mut self, amount: f64, now: Millis) {
        self.value = self.value_at(now) + amount;
        self.updated_at = self.updated_at.max(now);
    }

    /// Rate per millisecond of the steady input that would give this sum.
    pub(crate) fn rate(&self, now: Millis) -> f64 {
        self.value_at(now) * LN_2 / self.half_life.0 as f64
    }

    fn value_at(&self, now: Millis) -> f64 {
        let age = now.since(self.updated_at).0 as f64 / self.half_life.0 as f64;
        self.value * (-age).exp2()
    }
}

/// Ratio of two exponentially weighted moving averages, with the same weight for each sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EwmaRatio {
    numerator: f64,
    denominator: f64,
}

impl EwmaRatio {
    /// Weight of a new sample.
    const GAIN: f64 = 1.0 / 64.0;

    pub(crate) fn record(&mut self, numerator: f64, denominator: f64) {
        self.numerator += (numerator - self.numerator) * Self::GAIN;
        self.denominator += (denominator - self.denominator) * Self::GAIN;
    }

    /// The ratio, or `None` before the first sample.
    pub(crate) fn value(&self) -> Option<f64> {
        (self.denominator > 0.0).then(|| self.numerator / self.denominator)
    }
}
