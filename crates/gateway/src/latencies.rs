//! Latencies of request classes over time, computed from the logs of instances.
//!
//! The table shows which class was late, in which interval, and why: long queues delay the first
//! byte, the prefill of prompts beside a stream causes long pauses, and wrong predictions show in
//! the expected wait.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use crate::log_fields::field;
use crate::log_fields::millis;
use crate::log_fields::percentile;

/// The reported percentiles.
const PERCENTILES: [usize; 3] = [50, 90, 99];

/// Data of an answered request's log line.
#[derive(Clone, Copy, Debug)]
struct Sample {
    first_byte: Millis,
    longest_pause: Millis,
    expected_wait: Millis,
    transferred: bool,
}

/// One route in one interval.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassInterval {
    /// The route's name.
    pub route: String,
    /// Start of the interval, relative to the first request of the logs.
    pub start: Millis,
    /// Number of requests that ended in the interval.
    pub ended: usize,
    /// How many of them weren't answered in full.
    pub unserved: usize,
    /// How many of them ended before the head of an answer.
    pub unanswered: usize,
    /// How many fetched the shared part of their prompt from another engine.
    pub transferred: usize,
    /// Time from the head of the request to that of the answer, at the 50th, 90th and 99th
    /// percentile.
    pub first_byte: [Millis; 3],
    /// Longest pause between events, at the same percentiles.
    pub longest_pause: [Millis; 3],
    /// Expected wait, at the same percentiles.
    pub expected_wait: [Millis; 3],
}

/// Summarizes the requests of several logs by route and by intervals of `width`.
///
/// A request belongs to the interval in which it ended. Lines that don't concern requests or can't
/// be parsed are skipped.
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
        let interval = at.since(start).0 / width.0.max(1);
        groups.entry((route, interval)).or_default().push(line);
    }
    let intervals = groups
        .into_iter()
        .map(|((route, interval), lines)| ClassInterval {
            route: route.to_owned(),
            start: Millis(interval * width.0),
            ..summary(&lines)
        });
    intervals.collect()
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
        PERCENTILES.map(|percent| percentile(&values, percent))
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

/// Time of day of a log line, in milliseconds since midnight. Only differences between lines are
/// used, and a log that spans midnight is split into two.
fn time_of(line: &str) -> Option<Millis> {
    let (_, clock) = field(line, "time")?.split_once('T')?;
    let mut parts = clock.get(..12)?.split([':', '.']);
    let mut next = || parts.next()?.parse::<u64>().ok();
    let (hours, minutes, seconds, ms) = (next()?, next()?, next()?, next()?);
    Some(Millis(((hours * 60 + minutes) * 60 + seconds) * 1000 + ms))
}
