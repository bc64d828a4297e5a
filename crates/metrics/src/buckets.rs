//! Histogram buckets at a class's targets.

use crocushold_base::Millis;

/// Bucket bounds as multiples of the target; 1 is among them, so that the share within the target
/// can be read off exactly.
const MULTIPLES: [f64; 8] = [0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0];

/// Bounds in seconds for a class without a target.
const UNTARGETED: [f64; 8] = [0.05, 0.1, 0.25, 1.0, 4.0, 15.0, 60.0, 240.0];

/// Upper bounds in seconds for a histogram of durations with this target.
pub(crate) fn around(target: Option<Millis>) -> Vec<f64> {
    match target {
        Some(target) if target > Millis::ZERO => {
            MULTIPLES.iter().map(|m| m * target.as_secs_f64()).collect()
        }
        _ => UNTARGETED.to_vec(),
    }
}
