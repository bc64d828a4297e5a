//! The report of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// The report of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// Duration of the run until the last response and the counters of the stand-ins, in seconds.
    pub seconds: f64,
    /// Delay of the generator in sending requests, in milliseconds.
    pub lateness: Quantiles,
    /// Reports of the classes, in the order of the plan.
    pub classes: Vec<ClassReport>,
    /// Counters of the stand-ins since they started.
    pub standins: StandinTotals,
}

/// The report of a class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClassReport {
    /// Name of the class.
    pub name: String,
    /// Requests sent after the warm-up, each counted under exactly one outcome below.
    pub sent: u64,
    /// Requests that were due but not sent, because too many were in flight.
    pub unsent: u64,
    /// Requests completed within their targets.
    pub attained: u64,
    /// Requests with a complete and correct response.
    pub completed: u64,
    /// Requests that received an error status.
    pub refused: u64,
    /// Requests whose response or connection ended early.
    pub cut: u64,
    /// Requests whose response contained tokens of another request.
    pub misdelivered: u64,
    /// Requests whose response claimed to be complete, but with tokens missing, repeated or out of
    /// order.
    pub disordered: u64,
    /// Requests that timed out.
    pub timed_out: u64,
    /// Requests that the client abandoned as planned.
    pub gave_up: u64,
    /// Requests for which no entry address accepted a connection.
    #[serde(rename = "unconnected")]
    pub connect_failed: u64,
    /// Refusals by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Refusals by the reason that they name, as `-` if they name none.
    #[serde(default)]
    pub reasons: BTreeMap<String, u64>,
    /// Refusals without `Retry-After`.
    #[serde(rename = "without-hint")]
    pub without_retry_after: u64,
    /// Refusals that state that the request wasn't run.
    #[serde(rename = "said-unrun")]
    pub reported_not_run: u64,
    /// Requests that ran although a refusal stated that they weren't run.
    #[serde(rename = "falsely-unrun")]
    pub falsely_reported_not_run: u64,
    /// Requests that ran, or had their side effect, more than once.
    #[serde(rename = "doubled")]
    pub repeated: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens of completed requests.
    pub useful_tokens: u64,
    /// Time from the scheduled start to the first token.
    pub first: Quantiles,
    /// Time between tokens.
    pub between: Quantiles,
    /// Time from the scheduled start to the end of a complete response.
    pub whole: Quantiles,
    /// Counts by the second in which requests were due.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub timeline: Vec<Second>,
}

/// The counts of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Requests that were due and sent.
    pub sent: u64,
    /// Requests completed within their targets.
    pub attained: u64,
    /// Requests that received an error status.
    pub refused: u64,
}

/// A distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Sums of the stand-ins' counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StandinTotals {
    /// Stand-ins whose counters were read.
    #[serde(rename = "asked")]
    pub reachable: u64,
    /// Stand-ins whose counters couldn't be read. Unless this is zero, `repeated` and
    /// `falsely_reported_not_run` of the classes are lower bounds.
    #[serde(rename = "unasked")]
    pub unreachable: u64,
    /// Requests admitted to a queue.
    pub started: u64,
    /// Requests whose complete response was sent.
    pub completed: u64,
    /// Requests whose client disconnected.
    pub cancelled: u64,
    /// Requests truncated or lost because of a fault.
    pub failed: u64,
    /// Tokens of completed requests.
    pub useful_tokens: u64,
    /// Tokens of cancelled requests.
    pub cancelled_tokens: u64,
    /// Tokens of failed requests.
    pub failed_tokens: u64,
}

impl Quantiles {
    /// Converts a histogram of microseconds.
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
