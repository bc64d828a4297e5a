//! What a point's requests and counters amount to.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crocushold_metrics::Exposition;
use crocushold_standins::EngineStats;
use crocushold_standins::load::Ending;

use crate::drive::RequestRecord;
use crate::point::Timing;
use crate::scenario::ClassSpec;
use crate::scenario::RequestKind;
use crate::scenario::Scenario;

#[cfg(test)]
mod tests;

/// Share of a request's gaps that may be longer than its target.
const MAX_LATE_GAP_SHARE: f64 = 0.05;

/// What was seen of a point.
pub(crate) struct Observations {
    /// The requests.
    pub(crate) requests: Vec<RequestRecord>,
    /// The engines' counters at the start of the window.
    pub(crate) before: EngineStats,
    /// The engines' counters at its end.
    pub(crate) after: EngineStats,
    /// How often each marked request ran.
    pub(crate) run_counts: HashMap<String, u64>,
    /// The instances' metrics at the end of the window.
    pub(crate) metrics: Vec<String>,
}

/// One class in a point.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassSummary {
    /// Requests whose verdict is known.
    pub(crate) judged: u64,
    /// Of these, completed within their targets.
    pub(crate) attained: u64,
    /// Useful tokens in a second.
    pub(crate) goodput: f64,
    /// Requests in the window that were completed.
    pub(crate) completed: u64,
    /// Refused with `Retry-After`.
    pub(crate) refused: u64,
    /// Refused as not run, but without it.
    pub(crate) refused_without_retry_after: u64,
    /// Answered with an error that leaves open whether the request ran.
    pub(crate) unknown: u64,
    /// Judged, completed, and too late for the first token.
    pub(crate) late_first_token: u64,
    /// Judged, completed with the first token in time, and too slow between tokens.
    pub(crate) late_token_gaps: u64,
    /// Judged, completed, and too late for the whole answer.
    pub(crate) late_whole_answer: u64,
    /// Ended early.
    pub(crate) cut: u64,
    /// Given up by the caller after its own timeout.
    pub(crate) timed_out: u64,
    /// Refused a connection.
    pub(crate) connections_refused: u64,
    /// Non-idempotent requests that ran more than once.
    pub(crate) repeated_non_idempotent: u64,
    /// Idempotent requests that ran more than once.
    pub(crate) repeated_idempotent: u64,
    /// Answered with another request's tokens, or with tokens missing or out of order.
    pub(crate) misdelivered: u64,
    /// Said not to have been run, and were.
    pub(crate) falsely_reported_not_run: u64,
    /// Time to the first token of the slowest hundredth, in milliseconds.
    pub(crate) first_token_p99_ms: f64,
}

/// A point.
#[derive(Clone, Debug, Default)]
pub(crate) struct Summary {
    /// The classes in the shape's order.
    pub(crate) classes: Vec<ClassSummary>,
    /// Useful tokens in a second, over all classes.
    pub(crate) goodput: f64,
    /// Tokens of requests whose caller or router left, in a second.
    pub(crate) cancelled: f64,
    /// Tokens lost by a fault of an engine, in a second.
    pub(crate) failed: f64,
    /// Tokens wasted as the instances count them, by class and cause.
    pub(crate) wasted_by_cause: BTreeMap<String, f64>,
    /// The generator's own delay, the 99th percentile, in milliseconds.
    pub(crate) send_delay_p99_ms: f64,
}

impl ClassSummary {
    /// Share of the judged requests that met their targets, in percent.
    pub(crate) fn attainment(&self) -> Option<f64> {
        (self.judged > 0).then(|| 100.0 * self.attained as f64 / self.judged as f64)
    }
}

impl Summary {
    /// Wasted work as a share of all work, in percent.
    pub(crate) fn wasted_percent(&self) -> f64 {
        let wasted = self.cancelled + self.failed;
        100.0 * wasted / (wasted + self.goodput).max(1.0)
    }

    /// A class's share of all useful tokens, in percent.
    pub(crate) fn token_share(&self, class: usize) -> f64 {
        100.0 * self.classes[class].goodput / self.goodput.max(1.0)
    }
}

/// Sums a point up.
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
        if request.ending == Ending::Complete {
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
        let misdelivered = matches!(request.ending, Ending::Misdelivered | Ending::Disordered);
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
            Ending::Complete => self.completed += 1,
            Ending::Refused if request.has_retry_after => self.refused += 1,
            Ending::Refused if request.reported_not_run => self.refused_without_retry_after += 1,
            Ending::Refused => self.unknown += 1,
            Ending::Cut => self.cut += 1,
            Ending::TimedOut => self.timed_out += 1,
            Ending::Unconnected => self.connections_refused += 1,
            // Counted with the runs, or cut off by the end of the measurement.
            Ending::Misdelivered | Ending::Disordered | Ending::GaveUp => {}
        }
    }
}

/// Whether a time is within a target, if there is one.
fn within_limit(seconds: f64, limit: Option<u64>) -> bool {
    limit.is_none_or(|ms| seconds * 1000.0 <= ms as f64)
}

/// The last moment whose requests are judged: their targets must fall inside the measurement, since
/// leaving out those that are still open would count the fast ones alone.
fn judging_deadline(class: &ClassSpec, timing: &Timing) -> f64 {
    let whole = class.targets.whole_ms.unwrap_or(0) as f64 / 1000.0;
    timing.end - timing.judging_margin.max(whole)
}

/// Whether the request met its targets; none when the measurement ended before that was known.
fn targets_met(request: &RequestRecord, class: &ClassSpec) -> Option<bool> {
    let targets = class.targets;
    if request.ending == Ending::GaveUp {
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
    Some(request.ending == Ending::Complete && first && whole && gaps)
}

fn gaps_within(gaps: &[u32], ms: u64) -> bool {
    let limit = ms.saturating_mul(1000);
    let longer = gaps.iter().filter(|&&gap| u64::from(gap) > limit).count();
    longer as f64 <= gaps.len() as f64 * MAX_LATE_GAP_SHARE
}

/// Tokens that came inside the window, of a request that was completed or still ran at the end.
///
/// A streamed answer counts token by token; another one with its end.
pub(crate) fn useful_tokens(request: &RequestRecord, class: &ClassSpec, timing: &Timing) -> f64 {
    let RequestKind::Model { stream, .. } = class.request_kind else {
        return 0.0;
    };
    let inside = |at: f64| timing.window_start <= at && at < timing.end;
    let useful = matches!(request.ending, Ending::Complete | Ending::GaveUp);
    if !useful {
        return 0.0;
    }
    if !stream {
        let complete = request.ending == Ending::Complete && inside(request.due + request.duration);
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

/// The value below which the share `part` of the values lies; zero of none.
pub(crate) fn quantile(values: impl Iterator<Item = f64>, q: f64) -> f64 {
    let mut all: Vec<f64> = values.collect();
    all.sort_by(f64::total_cmp);
    let at = (all.len() as f64 * q) as usize;
    all.get(at.min(all.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}
