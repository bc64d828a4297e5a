//! How long answers get.

use rand::RngExt;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

/// A distribution of lengths: many short ones, few long ones, between two bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LengthDistribution {
    /// Shortest, at least 1.
    pub low: u32,
    /// Longest.
    pub high: u32,
}

impl LengthDistribution {
    /// Always the same length.
    pub const fn fixed(length: u32) -> LengthDistribution {
        LengthDistribution {
            low: length,
            high: length,
        }
    }

    /// Draws a length; its logarithm is uniform between those of the bounds.
    pub fn sample(&self, rng: &mut StdRng) -> u32 {
        let low = f64::from(self.low.max(1)).ln();
        let high = f64::from(self.high.max(self.low).max(1)).ln();
        let sampled = low + (high - low) * rng.random::<f64>();
        sampled.exp().round() as u32
    }

    /// The mean of the distribution.
    pub fn mean(&self) -> f64 {
        let low = f64::from(self.low.max(1));
        let high = f64::from(self.high.max(self.low).max(1));
        if high <= low {
            return low;
        }
        (high - low) / (high / low).ln()
    }
}
