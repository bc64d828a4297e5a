//! The time of whole answers on the servers that hold one model.

use crate::stats::Ewma;

/// Number of prompt size buckets, by powers of four.
const PROMPT_BUCKETS: usize = 8;

/// Number of answer length buckets, by powers of two.
const OUTPUT_BUCKETS: usize = 12;

/// Samples that a bucket needs before it can show that a server is slow.
const MIN_SAMPLES: u32 = 16;

/// Minimum deviation that is tolerated, as a logarithm.
const MIN_DEVIATION: f64 = 0.05;

/// The usual time of whole answers, by prompt size and answer length.
///
/// An answer that isn't streamed, or has a single token, gives no time per token, since its time
/// includes the prefill. It is therefore compared only with its peers' answers of the same size.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerTimes {
    /// Empty until the first answer; many models are only ever streamed.
    buckets: Vec<TimeStats>,
}

impl AnswerTimes {
    /// Adds the time of a whole answer, in milliseconds; `alpha` is the weight of a sample.
    ///
    /// Returns the logarithm of its ratio to the usual time, reduced by the usual deviation, once
    /// there are enough samples. Cached and uncached prompts have different times; without the
    /// deviation, a server with a cold cache would look like a straggler.
    pub(crate) fn add(&mut self, prompt: u32, output: u32, span: f64, alpha: f64) -> Option<f64> {
        if self.buckets.is_empty() {
            self.buckets = vec![TimeStats::default(); PROMPT_BUCKETS * OUTPUT_BUCKETS];
        }
        let size = (bit_length(prompt) / 2).min(PROMPT_BUCKETS - 1);
        let length = bit_length(output).min(OUTPUT_BUCKETS - 1);
        let sample = span.max(1.0) / f64::from(output.max(1));
        self.buckets[size * OUTPUT_BUCKETS + length].add(sample.ln(), alpha)
    }
}

/// Mean and mean absolute deviation of logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct TimeStats {
    mean: Ewma,
    deviation: Ewma,
}

impl TimeStats {
    fn add(&mut self, log: f64, alpha: f64) -> Option<f64> {
        let known = self.mean.count() >= MIN_SAMPLES;
        let off = log - self.mean.mean();
        let deviation = self.deviation.mean().max(MIN_DEVIATION);
        self.mean.add(log, alpha);
        if self.mean.count() > 1 {
            self.deviation.add(off.abs(), alpha);
        }
        let beyond = (off.abs() - deviation).max(0.0);
        known.then_some(beyond.copysign(off))
    }
}

/// The number of bits of `value`.
fn bit_length(value: u32) -> usize {
    value.checked_ilog2().map_or(0, |log| log as usize + 1)
}
