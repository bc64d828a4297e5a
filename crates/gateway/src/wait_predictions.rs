//! Compares the waits that were predicted when requests were placed with the actual ones.
//!
//! Placement and refusal depend on the predicted wait. If it doesn't correlate with the actual
//! wait, every decision based on it is random.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use crate::log_fields::field;
use crate::log_fields::millis;
use crate::log_fields::percentile;

/// Upper bounds of the predicted wait of each bucket, in milliseconds. A predicted wait of zero has
/// a bucket of its own, and so have all waits beyond the last bound.
const BUCKETS_MS: [u64; 4] = [0, 200, 600, 1200];

/// Who chose the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Chooser {
    /// All requests.
    All,
    /// The instance that received the request.
    Own,
    /// The placer.
    Placer,
}

/// Requests of one route, by who chose their server.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitPrediction {
    /// The route's name; `None` for all routes together.
    pub route: Option<String>,
    /// Who chose.
    pub chooser: Chooser,
    /// Rank correlation of the predicted wait and the time to first byte: 1 if a longer prediction
    /// always comes with a longer time, 0 if they are unrelated. `None` if it is undefined.
    pub correlation: Option<f64>,
    /// Requests grouped by predicted wait.
    pub buckets: Vec<WaitBucket>,
}

/// Requests with a similar predicted wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitBucket {
    /// The longest predicted wait of the bucket; `None` for the last one.
    pub upper_bound: Option<Millis>,
    /// Number of requests.
    pub requests: usize,
    /// Time to first byte at the 50th and 90th percentile.
    pub first_byte: [Millis; 2],
}

#[derive(Clone, Copy)]
struct Sample {
    expected_wait: Millis,
    first_byte: Millis,
}

/// Summarizes the answered requests that have a shared prompt prefix, by route and by who chose the
/// server.
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
    let predictions = groups.into_iter().map(|((route, chooser), samples)| {
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
    predictions.collect()
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
    let bucket_of = |sample: &Sample| {
        BUCKETS_MS
            .iter()
            .position(|upper_bound| sample.expected_wait.0 <= *upper_bound)
    };
    let buckets = (0..=BUCKETS_MS.len()).map(|bucket| {
        let inside = samples
            .iter()
            .filter(|sample| bucket_of(sample).unwrap_or(BUCKETS_MS.len()) == bucket);
        let mut first_byte: Vec<Millis> = inside.map(|sample| sample.first_byte).collect();
        first_byte.sort_unstable();
        WaitBucket {
            upper_bound: BUCKETS_MS.get(bucket).copied().map(Millis),
            requests: first_byte.len(),
            first_byte: [50, 90].map(|percent| percentile(&first_byte, percent)),
        }
    });
    buckets.collect()
}

/// Spearman's rank correlation, with tied values taking the mean of their ranks; `None` if one side
/// is constant.
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
