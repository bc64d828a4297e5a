//! Summary statistics of a point: attainment, goodput, wasted work and violated guarantees by
//! class.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crocushold_metrics::Exposition;
use crocushold_standins::EngineStats;
use crocushold_standins::load::RequestOutcome;

use crate::drive::RequestRecord;
use crate::point::Timing;
use crate::scenario::ClassSpec;
use crate::scenario::RequestKind;
use crate::scenario::Scenario;

#[cfg(test)]
mod tests;

/// Share of a request's token gaps that may exceed the target between tokens.
const MAX_LATE_GAP_SHARE: f64 = 0.05;

/// Raw data recorded during a point.
pub(crate) struct Observations {
    /// Every request that was sent.
    pub(crate) requests: Vec<RequestRecord>,
    /// Engine counters, summed, at the start of the measured window.
    pub(crate) before: EngineStats,
    /// Engine counters, summed, at the end of the window.
    pub(crate) after: EngineStats,
    /// Number of executions by request marker.
    pub(crate) run_counts: HashMap<String, u64>,
    /// Text of `/metrics` of each instance at the end of the window.
    pub(crate) metrics: Vec<String>,
}

/// Statistics of one class in a point.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassSummary {
    /// Requests for which it is known whether they met their targets.
    pub(crate) judged: u64,
    /// Judged requests that completed within their targets.
    pub(crate) attained: u64,
    /// Useful tokens per second.
    pub(crate) goodput: f64,
    /// Requests due in the window that completed.
    pub(crate) completed: u64,
    /// Refused, with `Retry-After`.
    pub(crate) refused: u64,
    /// Refused as not run, without `Retry-After`.
    pub(crate) refused_without_retry_after: u64,
    /// Failed with a response that doesn't state whether the request ran.
    pub(crate) unknown: u64,
    /// Judged and completed, but missed the target for the first token.
    pub(crate) late_first_token: u64,
    /// Judged and completed with the first token in time, but missed the target between tokens.
    pub(crate) late_token_gaps: u64,
    /// Judged and completed, but missed the target for the whole answer.
    pub(crate) late_whole_answer: u64,
    /// Responses that ended before they were complete.
    pub(crate) cut: u64,
    /// Abandoned by the client after its own timeout.
    pub(crate) timed_out: u64,
    /// Requests whose connection was refused.
    pub(crate) connections_refused: u64,
    /// Non-idempotent requests that ran more than once.
    pub(crate) repeated_non_idempotent: u64,
    /// Idempotent requests that ran more than once.
    pub(crate) repeated_idempotent: u64,
    /// Responses with another request's tokens, or with tokens missing or out of order.
    pub(crate) misdelivered: u64,
    /// Requests reported as not run that did run.
    pub(crate) falsely_reported_not_run: u64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub(crate) first_token_p99_ms: f64,
}

/// Statistics of a point.
#[derive(Clone, Debug, Default)]
pub(crate) struct Summary {
    /// Classes in the scenario's order.
    pub(crate) classes: Vec<ClassSummary>,
    /// Useful tokens per second over all classes.
    pub(crate) goodput: f64,
    /// Tokens per second generated for requests that the client or router cancelled.
    pub(crate) cancelled: f64,
    /// Tokens per second lost by engine faults.
    pub(crate) failed: f64,
    /// Wasted tokens as the instances count them, by class and cause.
    pub(crate) wasted_by_cause: BTreeMap<String, f64>,
    /// 99th percentile of the load generator's own send delay, in milliseconds.
    pub(crate) send_delay_p99_ms: f64,
}

impl ClassSummary {
    /// Percentage of the judged requests that met their targets; `None` when none was judged.
    pub(crate) fn attainment(&self) -> Option<f64> {
        (self.judged > 0).then(|| 100.0 * self.attained as f64 / self.judged as f64)
    }
}

impl Summary {
    /// Wasted tokens as a percentage of all tokens.
    pub(crate) fn wasted_percent(&self) -> f64 {
        let wasted = self.cancelled + self.failed;
        100.0 * wasted / (wasted + self.goodput).max(1.0)
    }

    /// A class's percentage of all useful tokens.
    pub(crate) fn token_share(&self, class: usize) -> f64 {
        100.0 * self.classes[class].goodput / self.goodput.max(1.0)
    }
}

/// Computes the statistics of a point.
pub(crate) fn summarize(scenario: &Scenario, observed: &Observations, timing: &Timing) -> Summary {
    let span = timing.end - timing.window_start;
    let classes: Vec<ClassSummary> = (0..scenario.classes.len())
        .map(|index| summarize_class(scenario, index, observed, timing))
        .collect();
    let tokens_per_second = |count: fn(&EngineStats) -> u64| {
        count(&observed.after).saturating_sub(count(&observed.before)) as f64 / span
    };
    Summary {
        goodput: classes.iter().map(|class| class.goodput).sum(),
        classes,
        cancelled: tokens_per_second(|stats| stats.cancelled_tokens),
        failed: tokens_per_second(|stats| stats.failed_tokens),
        wasted_by_cause: wasted_tokens_by_cause(&observed.metrics),
        send_delay_p99_ms: quantile(
            observed
                .requests
                .iter()
                .map(|request| request.send_delay * 1000.0),
            0.99,
        ),
    }
}

fn summarize_class(
    scenario: &Scenario,
    index: usize,
    observed: &Observations,
    timing: &Timing,
) -> ClassSummary {
    let class = &scenario.classes[index];
    let mut summary = ClassSummary::default();
    let mut firsts = Vec::new();
    let mut tokens = 0.0;
    for request in observed
        .requests
        .iter()
        .filter(|request| request.class == index)
    {
        tokens += useful_tokens(request, class, timing);
        let runs = observed
            .run_counts
            .get(&request.marker)
            .copied()
            .unwrap_or(0);
        summary.count_runs(request, class, runs);
        if request.due < timing.window_start {
            continue;
        }
        summary.count_ending(request);
        if request.due > judging_deadline(class, timing) {
            continue;
        }
        firsts.extend(request.first_token.map(|first| first * 1000.0));
        if let Some(attained) = targets_met(request, class) {
            summary.judged += 1;
            summary.attained += u64::from(attained);
        }
        if request.ending == RequestOutcome::Complete {
            summary.count_late(request, class);
        }
    }
    summary.goodput = tokens / (timing.end - timing.window_start);
    summary.first_token_p99_ms = quantile(firsts.into_iter(), 0.99);
    summary
}

impl ClassSummary {
    fn count_runs(&mut self, request: &RequestRecord, class: &ClassSpec, runs: u64) {
        let again = u64::from(runs > 1);
        if class.idempotent {
            self.repeated_idempotent += again;
        } else {
            self.repeated_non_idempotent += again;
        }
        self.falsely_reported_not_run += u64::from(request.reported_not_run && runs > 0);
        let misdelivered = matches!(
            request.ending,
            RequestOutcome::Misdelivered | RequestOutcome::Disordered
        );
        self.misdelivered += u64::from(misdelivered);
    }

    fn count_late(&mut self, request: &RequestRecord, class: &ClassSpec) {
        let targets = class.targets;
        let first = request
            .first_token
            .is_some_and(|first| within_limit(first, targets.first_ms));
        let gaps = targets
            .between_ms
            .is_none_or(|ms| gaps_within(&request.gaps, ms));
        self.late_first_token += u64::from(!first);
        self.late_token_gaps += u64::from(first && !gaps);
        self.late_whole_answer += u64::from(!within_limit(request.duration, targets.whole_ms));
    }

    fn count_ending(&mut self, request: &RequestRecord) {
        match request.ending {
            RequestOutcome::Complete => self.completed += 1,
            RequestOutcome::Refused if request.has_retry_after => self.refused += 1,
            RequestOutcome::Refused if request.reported_not_run => {
                self.refused_without_retry_after += 1;
            }
            RequestOutcome::Refused => self.unknown += 1,
            RequestOutcome::Cut => self.cut += 1,
            RequestOutcome::TimedOut => self.timed_out += 1,
            RequestOutcome::ConnectFailed => self.connections_refused += 1,
            // The first two are counted in `count_runs`; the last was cut off by the end of the
            // measurement.
            RequestOutcome::Misdelivered | RequestOutcome::Disordered | RequestOutcome::GaveUp => {}
        }
    }
}

/// Whether a time is within a target; always true without a target.
fn within_limit(seconds: f64, limit: Option<u64>) -> bool {
    limit.is_none_or(|ms| seconds * 1000.0 <= ms as f64)
}

/// Latest due time, in seconds, of a judged request. Its targets must fall inside the measurement:
/// judging later requests without those that are still open would count only the fast ones.
fn judging_deadline(class: &ClassSpec, timing: &Timing) -> f64 {
    let whole = class.targets.whole_ms.unwrap_or(0) as f64 / 1000.0;
    timing.end - timing.judging_margin.max(whole)
}

/// Whether the request met its targets; `None` when the measurement ended before that was known.
fn targets_met(request: &RequestRecord, class: &ClassSpec) -> Option<bool> {
    let targets = class.targets;
    if request.ending == RequestOutcome::GaveUp {
        let open = request.duration;
        let first = request.first_token.unwrap_or(open);
        let late = !within_limit(first, targets.first_ms) || !within_limit(open, targets.whole_ms);
        return late.then_some(false);
    }
    let gaps = targets
        .between_ms
        .is_none_or(|ms| gaps_within(&request.gaps, ms));
    let first = request
        .first_token
        .is_some_and(|first| within_limit(first, targets.first_ms));
    let whole = within_limit(request.duration, targets.whole_ms);
    Some(request.ending == RequestOutcome::Complete && first && whole && gaps)
}

fn gaps_within(gaps: &[u32], ms: u64) -> bool {
    let limit = ms.saturating_mul(1000);
    let longer = gaps.iter().filter(|&&gap| u64::from(gap) > limit).count();
    longer as f64 <= gaps.len() as f64 * MAX_LATE_GAP_SHARE
}

/// Tokens received inside the window, of a request that completed or still ran at the end.
///
/// A streamed response counts token by token; any other counts as a whole when it ends.
pub(crate) fn useful_tokens(request: &RequestRecord, class: &ClassSpec, timing: &Timing) -> f64 {
    let RequestKind::Model { stream, .. } = class.request_kind else {
        return 0.0;
    };
    let inside = |at: f64| timing.window_start <= at && at < timing.end;
    let useful = matches!(
        request.ending,
        RequestOutcome::Complete | RequestOutcome::GaveUp
    );
    if !useful {
        return 0.0;
    }
    if !stream {
        let complete =
            request.ending == RequestOutcome::Complete && inside(request.due + request.duration);
        return if complete { request.tokens as f64 } else { 0.0 };
    }
    let Some(first) = request.first_token else {
        return 0.0;
    };
    let mut at = request.due + first;
    let mut count = u32::from(inside(at));
    for &gap in &request.gaps {
        at += f64::from(gap) / 1e6;
        count += u32::from(inside(at));
    }
    f64::from(count)
}

fn wasted_tokens_by_cause(metrics: &[String]) -> BTreeMap<String, f64> {
    let mut causes = BTreeMap::new();
    for text in metrics {
        let Ok(exposition) = Exposition::parse(text) else {
            continue;
        };
        for sample in exposition.family("crocushold_wasted_tokens_total") {
            let name = format!("{} {}", sample.label("class"), sample.label("cause"));
            *causes.entry(name).or_insert(0.0) += sample.value;
        }
    }
    causes.retain(|_, tokens| *tokens > 0.0);
    causes
}

/// The `q` quantile of the values, without interpolation; zero when there are none.
pub(crate) fn quantile(values: impl Iterator<Item = f64>, q: f64) -> f64 {
    let mut all: Vec<f64> = values.collect();
    all.sort_by(f64::total_cmp);
    let at = (all.len() as f64 * q) as usize;
    all.get(at.min(all.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}
