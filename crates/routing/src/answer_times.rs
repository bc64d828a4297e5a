//! How long whole answers take on the servers that hold one model.

use crate::stats::Ewma;

/// Sizes of prompts that are told apart, in steps of four.
const SIZES: usize = 8;

/// Lengths of answers that are told apart, in steps of two.
const LENGTHS: usize = 12;

/// Samples of one kind that are needed before one of them says who is slow.
const ENOUGH: u32 = 16;

/// Spread that is always allowed for, as a logarithm.
const LEAST_SPREAD: f64 = 0.05;

/// The usual time of whole answers, by size of the prompt and length of the answer.
///
/// An answer that isn't streamed, or has one token, tells no pace of its tokens: its time holds the
/// prompt's prefill as well. So it is compared with its peers' of the same size alone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Wholes {
    /// Empty until the first answer; many models are only ever streamed.
    kinds: Vec<Usual>,
}

impl Wholes {
    /// Takes in the time of a whole answer, in milliseconds; `alpha` is the weight of a sample.
    ///
    /// Returns the logarithm of its ratio to the usual time, less the usual spread, once enough is
    /// known. Prompts that were cached or not make times of two kinds; without the spread a server
    /// with a cold cache would look like a straggler.
    pub(crate) fn add(&mut self, prompt: u32, output: u32, span: f64, alpha: f64) -> Option<f64> {
        if self.kinds.is_empty() {
            self.kinds = vec![Usual::default(); SIZES * LENGTHS];
        }
        let size = (doublings(prompt) / 2).min(SIZES - 1);
        let length = doublings(output).min(LENGTHS - 1);
        let sample = span.max(1.0) / f64::from(output.max(1));
        self.kinds[size * LENGTHS + length].add(sample.ln(), alpha)
    }
}

/// The mean and the mean deviation of logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    mean: Ewma,
    spread: Ewma,
}

impl Usual {
    fn add(&mut self, log: f64, alpha: f64) -> Option<f64> {
        let known = self.mean.count() >= ENOUGH;
        let off = log - self.mean.mean();
        let spread = self.spread.mean().max(LEAST_SPREAD);
        self.mean.add(log, alpha);
        if self.mean.count() > 1 {
            self.spread.add(off.abs(), alpha);
        }
        let beyond = (off.abs() - spread).max(0.0);
        known.then_some(beyond.copysign(off))
    }
}

/// How often `value` can be halved; zero stands for itself.
fn doublings(value: u32) -> usize {
    value.checked_ilog2().map_or(0, |log| log as usize + 1)
}
