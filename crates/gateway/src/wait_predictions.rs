//! Whether the waits that were expected when requests were placed were those that they met.
//!
//! It answers whether requests are placed and refused for a reason: without a relation between the two, every
//! choice that goes by the expected wait is a choice by chance.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use crate::log_fields::field;
use crate::log_fields::millis;
use crate::log_fields::percentile;

/// The upper ends of the steps by which expected waits are told, in milliseconds; none expected is a step of its
/// own, and so is all beyond the last.
const BUCKETS_MS: [u64; 4] = [0, 200, 600, 1200];

/// Who chose the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Chooser {
    /// Anyone.
    All,
    /// The instance that the caller asked.
    Own,
    /// The instance that places for all.
    Placer,
}

/// Requests of one route, by who chose their server.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitPrediction {
    /// The route's name; none for all together.
    pub route: Option<String>,
    /// Who chose.
    pub chooser: Chooser,
    /// The rank correlation of the expected wait and the time to the first byte: 1 where the longer is always
    /// the longer, 0 where there is no relation. `None` where it isn't defined.
    pub correlation: Option<f64>,
    /// By steps of the expected wait.
    pub buckets: Vec<WaitBucket>,
}

/// Requests with about the same expected wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitBucket {
    /// The longest wait of the step; `None` for the last one.
    pub upper_bound: Option<Millis>,
    /// How many requests.
    pub requests: usize,
    /// The time to their first byte, at the 50th and 90th percentile.
    pub first_byte: [Millis; 2],
}

#[derive(Clone, Copy)]
struct Sample {
    expected_wait: Millis,
    first_byte: Millis,
}

/// Sums up the requests with a prompt that were answered, by route and by who chose.
pub fn wait_predictions<'a>(lines: impl IntoIterator<Item = &'a str>) -> Vec<WaitPrediction> {
    let mut groups: BTreeMap<(Option<&str>, Chooser), Vec<Sample>> = BTreeMap::new();
    for line in lines {
        let Some((route, chooser, sample)) = read(line) else {
            continue;
        };
        for key in [
            (None, Chooser::All),
            (None, chooser),
            (Some(route), Chooser::All),
        ] {
            groups.entry(key).or_default().push(sample);
        }
    }
    let told = groups.into_iter().map(|((route, chooser), samples)| {
        let expected_wait: Vec<u64> = samples
            .iter()
            .map(|sample| sample.expected_wait.0)
            .collect();
        let first_byte: Vec<u64> = samples.iter().map(|sample| sample.first_byte.0).collect();
        WaitPrediction {
            route: route.map(str::to_owned),
            chooser,
            correlation: rank_correlation(&expected_wait, &first_byte),
            buckets: buckets(&samples),
        }
    });
    told.collect()
}

fn read(line: &str) -> Option<(&str, Chooser, Sample)> {
    if field(line, "event") != Some("request-ended") {
        return None;
    }
    if field(line, "prefix").is_none_or(|prefix| prefix == "0") {
        return None;
    }
    let chooser = match field(line, "placer") {
        None | Some("none") => Chooser::Own,
        Some(_) => Chooser::Placer,
    };
    let sample = Sample {
        expected_wait: millis(line, "expected-wait")?,
        first_byte: millis(line, "first")?,
    };
    Some((field(line, "route")?, chooser, sample))
}

fn buckets(samples: &[Sample]) -> Vec<WaitBucket> {
    let place = |sample: &Sample| {
        BUCKETS_MS
            .iter()
            .position(|upper_bound| sample.expected_wait.0 <= *upper_bound)
    };
    let buckets = (0..=BUCKETS_MS.len()).map(|bucket| {
        let inside = samples
            .iter()
            .filter(|sample| place(sample).unwrap_or(BUCKETS_MS.len()) == bucket);
        let mut first_byte: Vec<Millis> = inside.map(|sample| sample.first_byte).collect();
        first_byte.sort_unstable();
        WaitBucket {
            upper_bound: BUCKETS_MS.get(bucket).copied().map(Millis),
            requests: first_byte.len(),
            first_byte: [50, 90].map(|part| percentile(&first_byte, part)),
        }
    });
    buckets.collect()
}

/// Spearman's rank correlation, equal values taking the mean of their ranks; `None` where one side is constant.
fn rank_correlation(a: &[u64], b: &[u64]) -> Option<f64> {
    let (a, b) = (ranks(a), ranks(b));
    // Ranks of n values have the mean (n + 1) / 2, ties or not.
    let mean = (a.len() as f64 + 1.0) / 2.0;
    let product = |a: &[f64], b: &[f64]| -> f64 {
        let pairs = a.iter().zip(b);
        pairs.map(|(a, b)| (a - mean) * (b - mean)).sum()
    };
    let scale = (product(&a, &a) * product(&b, &b)).sqrt();
    (scale > 0.0).then(|| product(&a, &b) / scale)
}

fn ranks(values: &[u64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..values.len()).collect();
    order.sort_unstable_by_key(|&at| values[at]);
    let mut ranks = vec![0.0; values.len()];
    let mut next = 0;
    for equal in order.chunk_by(|&a, &b| values[a] == values[b]) {
        let first_byte = next + 1;
        next += equal.len();
        for &at in equal {
            ranks[at] = (first_byte + next) as f64 / 2.0;
        }
    }
    ranks
}
