//! Running estimates of constant size.

use crocushold_base::Millis;

/// An exponentially weighted moving average; a plain mean until enough samples are in.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ewma {
    mean: f64,
    count: u32,
}

impl Ewma {
    /// Takes in `sample` with the weight `alpha`.
    pub(crate) fn add(&mut self, sample: f64, alpha: f64) {
        self.count = self.count.saturating_add(1);
        let weight = alpha.max(1.0 / f64::from(self.count));
        self.mean += weight * (sample - self.mean);
    }

    /// The average; zero without samples.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// How many samples are in.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }
}

/// The quantile that the first-byte timeout rests on.
const QUANTILE: f64 = 0.99;

/// How far one sample moves the estimate, in natural logarithm.
const STEP: f64 = 0.1;

/// A running estimate of the 99th percentile by stochastic approximation on the logarithm.
///
/// Each sample above the estimate raises it by about a tenth, each below lowers it by a thousandth,
/// so it keeps one number per model and follows a drift. A histogram per model would cost kilobytes
/// and need a window of its own.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Quantile {
    log: Option<f64>,
}

impl Quantile {
    /// Takes in one span.
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

    /// The estimate in milliseconds, if there was a sample.
    pub(crate) fn value(&self) -> Option<f64> {
        self.log.map(f64::exp)
    }
}

/// How far the first sample moves a [`Median`], in natural logarithm; the second half as far, the third a third.
/// With small steps alone an estimate takes a hundred samples to move by a factor of two.
const FIRST_STEP: f64 = 0.4;

/// How far one sample moves it once many are in.
const LAST_STEP: f64 = 0.02;

/// A running estimate of the median by stochastic approximation on the logarithm. One sample moves it by a step,
/// however far off it is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Median {
    log: f64,
    samples: u32,
}

impl Median {
    /// An estimate that begins at `first`, before any sample.
    pub(crate) fn from(first: f64) -> Median {
        Median {
            log: first.ln(),
            samples: 0,
        }
    }

    /// Takes in a positive sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let step = (FIRST_STEP / f64::from(self.samples)).max(LAST_STEP);
        if sample.ln() > self.log {
            self.log += step;
        } else {
            self.log -= step;
        }
    }

    /// The estimate.
    pub(crate) fn get(&self) -> f64 {
        self.log.exp()
    }

    /// How many samples are in.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}
