//! The report of a run, as JSON.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// A whole run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// How long the run took, in seconds, the last answers included.
    pub seconds: f64,
    /// How late requests were sent, in milliseconds: the generator's own delay.
    pub lateness: Quantiles,
    /// The classes, in the plan's order.
    pub classes: Vec<ClassReport>,
    /// What the stand-ins counted over their whole life.
    pub standins: StandinTotals,
}

/// One class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClassReport {
    /// Name.
    pub name: String,
    /// Requests sent after the warm-up; every one is in exactly one of the endings below.
    pub sent: u64,
    /// Requests that were due but not sent, because too many were in progress.
    pub unsent: u64,
    /// Completed within their targets.
    pub attained: u64,
    /// Answered whole, and with their own answer.
    pub completed: u64,
    /// Answered with an error status.
    pub refused: u64,
    /// Ended early.
    pub cut: u64,
    /// Answered with tokens of another request.
    pub misdelivered: u64,
    /// Answered as whole, but with tokens missing, repeated or out of order.
    pub disordered: u64,
    /// Not answered in time.
    pub timed_out: u64,
    /// Left by the caller as planned.
    pub gave_up: u64,
    /// Refused a connection by every entry.
    #[serde(rename = "unconnected")]
    pub connect_failed: u64,
    /// Refusals by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Refusals without `Retry-After`.
    #[serde(rename = "without-hint")]
    pub without_retry_after: u64,
    /// Refusals that state that the request wasn't run.
    #[serde(rename = "said-unrun")]
    pub reported_not_run: u64,
    /// Requests that were said not to have been run, and were.
    #[serde(rename = "falsely-unrun")]
    pub falsely_reported_not_run: u64,
    /// Requests that ran, or had their effect, more than once.
    #[serde(rename = "doubled")]
    pub repeated: u64,
    /// Tokens that arrived.
    pub tokens: u64,
    /// Tokens of completed requests.
    pub useful_tokens: u64,
    /// Time to the first token, from when the request was due.
    pub first: Quantiles,
    /// Time between tokens.
    pub between: Quantiles,
    /// Time to the end of a complete answer, from when the request was due.
    pub whole: Quantiles,
    /// Counts by the second in which requests were due.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub timeline: Vec<Second>,
}

/// One second of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Requests due.
    pub sent: u64,
    /// Completed within their targets.
    pub attained: u64,
    /// Answered with an error status.
    pub refused: u64,
}

/// A distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// How many.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest.
    pub max: f64,
}

/// What the stand-ins counted, summed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StandinTotals {
    /// Stand-ins that gave their counters.
    #[serde(rename = "asked")]
    pub reachable: u64,
    /// Stand-ins that couldn't be asked. Unless it is zero, the counts of doubled and falsely unrun
    /// requests are lower bounds.
    #[serde(rename = "unasked")]
    pub unreachable: u64,
    /// Requests that entered a queue.
    pub started: u64,
    /// Requests whose whole answer went out.
    pub completed: u64,
    /// Requests whose caller left.
    pub cancelled: u64,
    /// Requests cut or lost by a fault.
    pub failed: u64,
    /// Tokens of completed requests.
    pub useful_tokens: u64,
    /// Tokens of requests whose caller left.
    pub cancelled_tokens: u64,
    /// Tokens of requests cut or lost by a fault.
    pub failed_tokens: u64,
}

impl Quantiles {
    /// Reads a histogram of microseconds.
    pub(super) fn of(histogram: &Histogram<u64>) -> Quantiles {
        if histogram.is_empty() {
            return Quantiles::default();
        }
        let ms = |micros: u64| micros as f64 / 1000.0;
        Quantiles {
            count: histogram.len(),
            mean: histogram.mean() / 1000.0,
            p50: ms(histogram.value_at_quantile(0.50)),
            p95: ms(histogram.value_at_quantile(0.95)),
            p99: ms(histogram.value_at_quantile(0.99)),
            max: ms(histogram.max()),
        }
    }
}
