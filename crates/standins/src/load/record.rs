//! The recorder of a class's results.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::exchange::Exchange;
use super::exchange::RequestOutcome;
use super::plan::LoadClass;
use super::plan::Targets;
use super::report::ClassReport;
use super::report::Quantiles;
use super::report::Second;

/// Maximum latency in the histograms; longer ones are recorded as this value, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Maximum share of a request's gaps that may exceed the target.
const MAX_SLOW_GAP_SHARE: f64 = 0.05;

/// The header in which a refusal names its reason.
const REASON_HEADER: &str = "x-refusal-reason";

/// Counters and histograms of a class.
pub(super) struct ClassRecorder {
    targets: Targets,
    report: ClassReport,
    first: Histogram<u64>,
    between: Histogram<u64>,
    whole: Histogram<u64>,
    timeline: Vec<Second>,
}

impl ClassRecorder {
    pub(super) fn new(class: &LoadClass) -> ClassRecorder {
        ClassRecorder {
            targets: class.targets,
            report: ClassReport {
                name: class.name.clone(),
                ..ClassReport::default()
            },
            first: histogram(),
            between: histogram(),
            whole: histogram(),
            timeline: Vec::new(),
        }
    }

    /// Records a request that was due but wasn't sent.
    pub(super) fn record_unsent(&mut self) {
        self.report.unsent += 1;
    }

    /// Records a finished request that was due in second `second` of the run.
    pub(super) fn record(&mut self, exchange: &Exchange, not_run_marker: &str, second: usize) {
        let attained = self.meets_targets(exchange);
        self.count_outcome(exchange, not_run_marker);
        self.report.sent += 1;
        self.report.attained += u64::from(attained);
        self.report.tokens += exchange.response.tokens();
        self.record_times(exchange);
        if self.timeline.len() <= second {
            self.timeline.resize(second + 1, Second::default());
        }
        let line = &mut self.timeline[second];
        line.sent += 1;
        line.attained += u64::from(attained);
        line.refused += u64::from(exchange.outcome == RequestOutcome::Refused);
    }

    /// Returns the report, with the timeline if `timeline` is set.
    pub(super) fn report(&self, timeline: bool) -> ClassReport {
        let mut report = self.report.clone();
        report.first = Quantiles::of(&self.first);
        report.between = Quantiles::of(&self.between);
        report.whole = Quantiles::of(&self.whole);
        if timeline {
            report.timeline.clone_from(&self.timeline);
        }
        report
    }

    fn count_outcome(&mut self, exchange: &Exchange, not_run_marker: &str) {
        let report = &mut self.report;
        match exchange.outcome {
            RequestOutcome::Complete => report.completed += 1,
            RequestOutcome::Refused => {
                report.refused += 1;
                *report
                    .statuses
                    .entry(exchange.response.status())
                    .or_insert(0) += 1;
                let reason = exchange.response.header(REASON_HEADER).unwrap_or("-");
                *report.reasons.entry(reason.to_owned()).or_insert(0) += 1;
                let retry_after = exchange.response.header("retry-after").is_some();
                report.without_retry_after += u64::from(!retry_after);
                report.reported_not_run += u64::from(reports_not_run(exchange, not_run_marker));
            }
            RequestOutcome::Cut => report.cut += 1,
            RequestOutcome::Misdelivered => report.misdelivered += 1,
            RequestOutcome::Disordered => report.disordered += 1,
            RequestOutcome::TimedOut => report.timed_out += 1,
            RequestOutcome::GaveUp => report.gave_up += 1,
            RequestOutcome::ConnectFailed => report.connect_failed += 1,
        }
        if exchange.outcome == RequestOutcome::Complete {
            report.useful_tokens += exchange.response.tokens();
        }
    }

    fn record_times(&mut self, exchange: &Exchange) {
        if let Some(first) = exchange.first_token {
            self.first.saturating_record(micros(first));
        }
        for &gap in &exchange.token_gaps {
            self.between.saturating_record(u64::from(gap));
        }
        if exchange.outcome == RequestOutcome::Complete {
            self.whole.saturating_record(micros(exchange.duration));
        }
    }

    fn meets_targets(&self, exchange: &Exchange) -> bool {
        let Targets {
            first_ms,
            between_ms,
            whole_ms,
        } = self.targets;
        let within = |duration: Duration, limit: Option<u64>| {
            limit.is_none_or(|ms| duration <= Duration::from_millis(ms))
        };
        exchange.outcome == RequestOutcome::Complete
            && exchange
                .first_token
                .is_some_and(|first| within(first, first_ms))
            && within(exchange.duration, whole_ms)
            && between_ms.is_none_or(|ms| gaps_within(&exchange.token_gaps, ms))
    }
}

/// Returns whether a refusal states that the request wasn't run.
pub(super) fn reports_not_run(exchange: &Exchange, not_run_marker: &str) -> bool {
    let head = exchange.response.head();
    let body = String::from_utf8_lossy(exchange.response.body());
    !not_run_marker.is_empty() && (head.contains(not_run_marker) || body.contains(not_run_marker))
}

fn gaps_within(gaps: &[u32], ms: u64) -> bool {
    let limit = ms.saturating_mul(1000);
    let slow = gaps.iter().filter(|&&gap| u64::from(gap) > limit).count();
    slow as f64 <= gaps.len() as f64 * MAX_SLOW_GAP_SHARE
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are constants that are valid")
}
