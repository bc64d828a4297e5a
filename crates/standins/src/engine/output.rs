//! Lengths of responses.

use rand::RngExt;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

/// A log-uniform distribution of lengths: many short ones and few long ones, between two bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LengthDistribution {
    /// Minimum, at least 1.
    pub low: u32,
    /// Maximum.
    pub high: u32,
}

impl LengthDistribution {
    /// Returns a distribution with a single length.
    pub const fn fixed(length: u32) -> LengthDistribution {
        LengthDistribution {
            low: length,
            high: length,
        }
    }

    /// Samples a length, whose logarithm is uniformly distributed.
    pub fn sample(&self, rng: &mut StdRng) -> u32 {
        let low = f64::from(self.low.max(1)).ln();
        let high = f64::from(self.high.max(self.low).max(1)).ln();
        let sampled = low + (high - low) * rng.random::<f64>();
        sampled.exp().round() as u32
    }

    /// Returns the mean.
    pub fn mean(&self) -> f64 {
        let low = f64::from(self.low.max(1));
        let high = f64::from(self.high.max(self.low).max(1));
        if high <= low {
            return low;
        }
        (high - low) / (high / low).ln()
    }
}
