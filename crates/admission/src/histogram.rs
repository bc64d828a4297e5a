//! A streaming quantile estimate in constant memory.

/// Buckets per power of two; bounds the relative error of a quantile to a quarter of an octave.
const BUCKETS_PER_OCTAVE: usize = 4;

/// Powers of two covered: values from 1 to about a million.
const OCTAVES: usize = 20;

const BUCKETS: usize = BUCKETS_PER_OCTAVE * OCTAVES;

/// Number of samples after which all counts are halved, so that old samples decay.
const HALVE_AFTER: u32 = 512;

/// Number of samples required before the quantile is reported.
const MIN_SAMPLES: u32 = 16;

/// A logarithmic histogram with decaying counts that tracks one quantile.
#[derive(Clone, Debug)]
pub(crate) struct DecayingHistogram {
    counts: [u16; BUCKETS],
    total: u32,
    quantile: f64,
    cached: u32,
}

impl DecayingHistogram {
    /// An empty histogram that tracks `quantile`, clamped to 0 to 1.
    pub(crate) fn new(quantile: f64) -> DecayingHistogram {
        DecayingHistogram {
            counts: [0; BUCKETS],
            total: 0,
            quantile: quantile.clamp(0.0, 1.0),
            cached: 0,
        }
    }

    pub(crate) fn record(&mut self, value: u32) {
        self.counts[bucket(value)] += 1;
        self.total += 1;
        if self.total >= HALVE_AFTER {
            self.halve();
        }
        self.cached = self.compute();
    }

    /// The quantile, or `None` with too few samples.
    pub(crate) fn quantile(&self) -> Option<u32> {
        (self.total >= MIN_SAMPLES).then_some(self.cached)
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().map(|&count| u32::from(count)).sum();
    }

    fn compute(&self) -> u32 {
        let rank = (f64::from(self.total) * self.quantile).ceil() as u32;
        let mut seen = 0;
        for (index, &count) in self.counts.iter().enumerate() {
            seen += u32::from(count);
            if seen >= rank.max(1) {
                return upper_bound(index);
            }
        }
        upper_bound(BUCKETS - 1)
    }
}

fn bucket(value: u32) -> usize {
    let log = f64::from(value.max(1)).log2();
    ((log * BUCKETS_PER_OCTAVE as f64) as usize).min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> u32 {
    ((index + 1) as f64 / BUCKETS_PER_OCTAVE as f64)
        .exp2()
        .ceil() as u32
}
