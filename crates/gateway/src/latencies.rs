//! How the classes of requests fared over time, out of the logs of instances.
//!
//! It answers what binds: which class was late, in which span, and whether by its queue (the first byte), by
//! prompts that were read beside it (the longest pause) or by a wrong expectation.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use crate::log_fields::field;
use crate::log_fields::millis;
use crate::log_fields::percentile;

/// The percentiles that are told, as parts of a hundred.
const PERCENTILES: [usize; 3] = [50, 90, 99];

/// What a line says of a request that was answered.
#[derive(Clone, Copy, Debug)]
struct Sample {
    first_byte: Millis,
    longest_pause: Millis,
    expected_wait: Millis,
    transferred: bool,
}

/// One class in one span of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassInterval {
    /// The route's name.
    pub route: String,
    /// When the span begins, since the first request of the logs.
    pub start: Millis,
    /// Requests that ended in it.
    pub ended: usize,
    /// Those of them that weren't answered.
    pub unserved: usize,
    /// Those of them that ended before the head of an answer.
    pub unanswered: usize,
    /// Those that brought the shared part of their prompt from another engine.
    pub transferred: usize,
    /// From a request's head to that of its answer, at the 50th, 90th and 99th percentile.
    pub first_byte: [Millis; 3],
    /// The longest pause between events, the same.
    pub longest_pause: [Millis; 3],
    /// The wait that was expected, the same.
    pub expected_wait: [Millis; 3],
}

/// Sums up the requests of several logs by route and by spans of `width`.
///
/// Requests are taken where they ended. Lines that aren't of requests, or can't be read, are passed over.
pub fn latencies<'a>(
    lines: impl IntoIterator<Item = &'a str>,
    width: Millis,
) -> Vec<ClassInterval> {
    let ended = lines.into_iter().filter_map(|line| {
        let is_end = field(line, "event") == Some("request-ended");
        Some((time_of(line)?, line)).filter(|_| is_end)
    });
    let ended: Vec<(Millis, &str)> = ended.collect();
    let start = ended.iter().map(|(at, _)| *at).min().unwrap_or_default();
    let mut groups: BTreeMap<(&str, u64), Vec<&str>> = BTreeMap::new();
    for (at, line) in ended {
        let route = field(line, "route").unwrap_or("none");
        let span = at.since(start).0 / width.0.max(1);
        groups.entry((route, span)).or_default().push(line);
    }
    let spans = groups
        .into_iter()
        .map(|((route, span), lines)| ClassInterval {
            route: route.to_owned(),
            start: Millis(span * width.0),
            ..summary(&lines)
        });
    spans.collect()
}

fn summary(lines: &[&str]) -> ClassInterval {
    let answered = lines
        .iter()
        .filter(|line| field(line, "outcome") == Some("answered"));
    let samples: Vec<Sample> = answered.filter_map(|line| sample(line)).collect();
    let unanswered = lines.iter().filter(|line| field(line, "first").is_none());
    let percentiles = |value: fn(&Sample) -> Millis| {
        let mut values: Vec<Millis> = samples.iter().map(value).collect();
        values.sort_unstable();
        PERCENTILES.map(|part| percentile(&values, part))
    };
    ClassInterval {
        ended: lines.len(),
        unserved: lines.len() - samples.len(),
        unanswered: unanswered.count(),
        transferred: samples.iter().filter(|sample| sample.transferred).count(),
        first_byte: percentiles(|sample| sample.first_byte),
        longest_pause: percentiles(|sample| sample.longest_pause),
        expected_wait: percentiles(|sample| sample.expected_wait),
        ..ClassInterval::default()
    }
}

fn sample(line: &str) -> Option<Sample> {
    Some(Sample {
        first_byte: millis(line, "first")?,
        longest_pause: millis(line, "longest-pause").unwrap_or_default(),
        expected_wait: millis(line, "expected-wait").unwrap_or_default(),
        transferred: field(line, "source").is_some_and(|source| source != "none"),
    })
}

/// The time of day of a line, as milliseconds since midnight. Only spans between lines are told, and a log that
/// goes over midnight is told as two.
fn time_of(line: &str) -> Option<Millis> {
    let (_, clock) = field(line, "time")?.split_once('T')?;
    let mut parts = clock.get(..12)?.split([':', '.']);
    let mut next = || parts.next()?.parse::<u64>().ok();
    let (hours, minutes, seconds, ms) = (next()?, next()?, next()?, next()?);
    Some(Millis(((hours * 60 + minutes) * 60 + seconds) * 1000 + ms))
}
