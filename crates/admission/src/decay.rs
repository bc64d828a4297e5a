//! Sums and means that forget.

use std::f64::consts::LN_2;

use crocushold_base::Millis;

/// A sum whose old parts fade by half every half-life.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingSum {
    value: f64,
    at: Millis,
    half_life: Millis,
}

impl DecayingSum {
    pub(crate) fn new(half_life: Millis) -> DecayingSum {
        DecayingSum {
            value: 0.0,
            at: Millis::ZERO,
            half_life: half_life.max(Millis(1)),
        }
    }

    pub(crate) fn add(&mut self, amount: f64, now: Millis) {
        self.value = self.value_at(now) + amount;
        self.at = self.at.max(now);
    }

    /// The rate a millisecond that a steady flow with this sum would have.
    pub(crate) fn rate(&self, now: Millis) -> f64 {
        self.value_at(now) * LN_2 / self.half_life.0 as f64
    }

    fn value_at(&self, now: Millis) -> f64 {
        let age = now.since(self.at).0 as f64 / self.half_life.0 as f64;
        self.value * (-age).exp2()
    }
}

/// The ratio of two sums in which each new sample has the same weight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SampledRatio {
    top: f64,
    bottom: f64,
}

impl SampledRatio {
    /// Share of the sum that a new sample replaces.
    const GAIN: f64 = 1.0 / 64.0;

    pub(crate) fn record(&mut self, top: f64, bottom: f64) {
        self.top += (top - self.top) * Self::GAIN;
        self.bottom += (bottom - self.bottom) * Self::GAIN;
    }

    /// The ratio, or `None` before the first sample.
    pub(crate) fn value(&self) -> Option<f64> {
        (self.bottom > 0.0).then(|| self.top / self.bottom)
    }
}
