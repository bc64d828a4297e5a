//! Running estimates in constant space.

use crocushold_base::Millis;

/// An exponentially weighted moving average; a plain mean until there are enough samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ewma {
    mean: f64,
    count: u32,
}

impl Ewma {
    /// Creates an average of `count` samples.
    pub(crate) fn of(mean: f64, count: u32) -> Ewma {
        Ewma { mean, count }
    }

    /// Adds `sample` with the weight `alpha`.
    pub(crate) fn add(&mut self, sample: f64, alpha: f64) {
        self.count = self.count.saturating_add(1);
        let weight = alpha.max(1.0 / f64::from(self.count));
        self.mean += weight * (sample - self.mean);
    }

    /// Returns the average, or zero without samples.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the number of samples.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }
}

/// The quantile on which the first-byte timeout is based.
const QUANTILE: f64 = 0.99;

/// Step size of the estimate, in natural logarithm.
const STEP: f64 = 0.1;

/// A running estimate of the 99th percentile by stochastic approximation on the logarithm.
///
/// Each sample above the estimate raises it by about a tenth, each sample below lowers it by a
/// thousandth, so it needs one number per model and follows a drift. A histogram per model would
/// cost kilobytes and need a window of its own.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Quantile {
    log: Option<f64>,
}

impl Quantile {
    /// Adds a sample.
    pub(crate) fn add(&mut self, span: Millis) {
        let sample = (span.0.max(1) as f64).ln();
        let Some(log) = &mut self.log else {
            self.log = Some(sample);
            return;
        };
        if sample > *log {
            *log += STEP * QUANTILE;
        } else {
            *log -= STEP * (1.0 - QUANTILE);
        }
    }

    /// Returns the estimate in milliseconds, or `None` without samples.
    pub(crate) fn value(&self) -> Option<f64> {
        self.log.map(f64::exp)
    }
}

/// How far the first sample moves a [`Median`], in natural logarithm. The second sample moves it
/// half as far, the third a third as far. With small steps alone, an estimate needs a hundred
/// samples to change by a factor of two.
const FIRST_STEP: f64 = 0.4;

/// Step size after many samples.
const MIN_STEP: f64 = 0.02;

/// A running estimate of the median by stochastic approximation on the logarithm. A sample moves it
/// by one step regardless of the distance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Median {
    log: f64,
    samples: u32,
}

impl Median {
    /// Creates an estimate with the initial value `first`.
    pub(crate) fn with_initial(first: f64) -> Median {
        Median {
            log: first.ln(),
            samples: 0,
        }
    }

    /// Adds a positive sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let step = (FIRST_STEP / f64::from(self.samples)).max(MIN_STEP);
        if sample.ln() > self.log {
            self.log += step;
        } else {
            self.log -= step;
        }
    }

    /// Returns the estimate.
    pub(crate) fn value(&self) -> f64 {
        self.log.exp()
    }

    /// Returns the number of samples.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}
