//! Histogram buckets at the targets of a class.

use crocushold_base::Millis;

/// Bucket bounds as multiples of the target. They include 1, so that the share of requests within
/// the target is exact.
const TARGET_MULTIPLES: [f64; 8] = [0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0];

/// Bucket bounds in seconds for a class without a target.
const DEFAULT_BOUNDS: [f64; 8] = [0.05, 0.1, 0.25, 1.0, 4.0, 15.0, 60.0, 240.0];

/// The upper bucket bounds in seconds for a histogram of durations with this target.
pub(crate) fn bounds_for(target: Option<Millis>) -> Vec<f64> {
    match target {
        Some(target) if target > Millis::ZERO => TARGET_MULTIPLES
            .iter()
            .map(|m| m * target.as_secs_f64())
            .collect(),
        _ => DEFAULT_BOUNDS.to_vec(),
    }
}
