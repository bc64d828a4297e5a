//! What a point's requests and counters amount to.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crocushold_metrics::Exposition;
use crocushold_standins::EngineStats;
use crocushold_standins::load::RequestOutcome;

use crate::drive::Sent;
use crate::point::Timing;
use crate::shape::ClassShape;
use crate::shape::Shape;
use crate::shape::Work;

#[cfg(test)]
mod tests;

/// Share of a request's gaps that may be longer than its target.
const GAP_SHARE: f64 = 0.05;

/// What was seen of a point.
pub(crate) struct Observed {
    /// The requests.
    pub(crate) sent: Vec<Sent>,
    /// The engines' counters at the start of the window.
    pub(crate) before: EngineStats,
    /// The engines' counters at its end.
    pub(crate) after: EngineStats,
    /// How often each marked request ran.
    pub(crate) runs: HashMap<String, u64>,
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
    pub(crate) unhinted: u64,
    /// Answered with an error that leaves open whether the request ran.
    pub(crate) unknown: u64,
    /// Judged, completed, and too late for the first token.
    pub(crate) late_first: u64,
    /// Judged, completed with the first token in time, and too slow between tokens.
    pub(crate) late_gaps: u64,
    /// Judged, completed, and too late for the whole answer.
    pub(crate) late_whole: u64,
    /// Ended early.
    pub(crate) cut: u64,
    /// Given up by the caller after its own timeout.
    pub(crate) timed_out: u64,
    /// Refused a connection.
    pub(crate) unconnected: u64,
    /// Non-idempotent requests that ran more than once.
    pub(crate) doubled: u64,
    /// Idempotent requests that ran more than once.
    pub(crate) repeated: u64,
    /// Answered with another request's tokens, or with tokens missing or out of order.
    pub(crate) misdelivered: u64,
    /// Said not to have been run, and were.
    pub(crate) falsely_unrun: u64,
    /// Time to the first token of the slowest hundredth, in milliseconds.
    pub(crate) first_p99: f64,
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
    pub(crate) causes: BTreeMap<String, f64>,
    /// The generator's own delay, the 99th percentile, in milliseconds.
    pub(crate) late: f64,
}

impl ClassSummary {
    /// Share of the judged requests that met their targets, in percent.
    pub(crate) fn attainment(&self) -> Option<f64> {
        (self.judged > 0).then(|| 100.0 * self.attained as f64 / self.judged as f64)
    }
}

impl Summary {
    /// Wasted work as a share of all work, in percent.
    pub(crate) fn wasted(&self) -> f64 {
        let wasted = self.cancelled + self.failed;
        100.0 * wasted / (wasted + self.goodput).max(1.0)
    }

    /// A class's share of all useful tokens, in percent.
    pub(crate) fn share(&self, class: usize) -> f64 {
        100.0 * self.classes[class].goodput / self.goodput.max(1.0)
    }
}

/// Sums a point up.
pub(crate) fn summarize(shape: &Shape, observed: &Observed, timing: &Timing) -> Summary {
    let span = timing.end - timing.warm;
    let classes: Vec<ClassSummary> = (0..shape.classes.len())
        .map(|index| class(shape, index, observed, timing))
        .collect();
    let lost = |count: fn(&EngineStats) -> u64| {
        count(&observed.after).saturating_sub(count(&observed.before)) as f64 / span
    };
    Summary {
        goodput: classes.iter().map(|class| class.goodput).sum(),
        classes,
        cancelled: lost(|stats| stats.cancelled_tokens),
        failed: lost(|stats| stats.failed_tokens),
        causes: causes(&observed.metrics),
        late: quantile(observed.sent.iter().map(|sent| sent.late * 1000.0), 0.99),
    }
}

fn class(shape: &Shape, index: usize, observed: &Observed, timing: &Timing) -> ClassSummary {
    let class = &shape.classes[index];
    let mut summary = ClassSummary::default();
    let mut firsts = Vec::new();
    let mut tokens = 0.0;
    for sent in observed.sent.iter().filter(|sent| sent.class == index) {
        tokens += useful_tokens(sent, class, timing);
        let runs = observed.runs.get(&sent.marker).copied().unwrap_or(0);
        summary.count_runs(sent, class, runs);
        if sent.due < timing.warm {
            continue;
        }
        summary.count_ending(sent);
        if sent.due > judged_until(class, timing) {
            continue;
        }
        firsts.extend(sent.first.map(|first| first * 1000.0));
        if let Some(attained) = verdict(sent, class) {
            summary.judged += 1;
            summary.attained += u64::from(attained);
        }
        if sent.ending == RequestOutcome::Complete {
            summary.count_late(sent, class);
        }
    }
    summary.goodput = tokens / (timing.end - timing.warm);
    summary.first_p99 = quantile(firsts.into_iter(), 0.99);
    summary
}

impl ClassSummary {
    fn count_runs(&mut self, sent: &Sent, class: &ClassShape, runs: u64) {
        let again = u64::from(runs > 1);
        if class.idempotent {
            self.repeated += again;
        } else {
            self.doubled += again;
        }
        self.falsely_unrun += u64::from(sent.unrun && runs > 0);
        let foreign = matches!(
            sent.ending,
            RequestOutcome::Misdelivered | RequestOutcome::Disordered
        );
        self.misdelivered += u64::from(foreign);
    }

    fn count_late(&mut self, sent: &Sent, class: &ClassShape) {
        let targets = class.targets;
        let first = sent
            .first
            .is_some_and(|first| within(first, targets.first_ms));
        let gaps = targets
            .between_ms
            .is_none_or(|ms| gaps_within(&sent.gaps, ms));
        self.late_first += u64::from(!first);
        self.late_gaps += u64::from(first && !gaps);
        self.late_whole += u64::from(!within(sent.whole, targets.whole_ms));
    }

    fn count_ending(&mut self, sent: &Sent) {
        match sent.ending {
            RequestOutcome::Complete => self.completed += 1,
            RequestOutcome::Refused if sent.hinted => self.refused += 1,
            RequestOutcome::Refused if sent.unrun => self.unhinted += 1,
            RequestOutcome::Refused => self.unknown += 1,
            RequestOutcome::Cut => self.cut += 1,
            RequestOutcome::TimedOut => self.timed_out += 1,
            RequestOutcome::ConnectFailed => self.unconnected += 1,
            // Counted with the runs, or cut off by the end of the measurement.
            RequestOutcome::Misdelivered | RequestOutcome::Disordered | RequestOutcome::GaveUp => {}
        }
    }
}

/// Whether a time is within a target, if there is one.
fn within(seconds: f64, limit: Option<u64>) -> bool {
    limit.is_none_or(|ms| seconds * 1000.0 <= ms as f64)
}

/// The last moment whose requests are judged: their targets must fall inside the measurement, since
/// leaving out those that are still open would count the fast ones alone.
fn judged_until(class: &ClassShape, timing: &Timing) -> f64 {
    let whole = class.targets.whole_ms.unwrap_or(0) as f64 / 1000.0;
    timing.end - timing.tail.max(whole)
}

/// Whether the request met its targets; none when the measurement ended before that was known.
fn verdict(sent: &Sent, class: &ClassShape) -> Option<bool> {
    let targets = class.targets;
    if sent.ending == RequestOutcome::GaveUp {
        let open = sent.whole;
        let first = sent.first.unwrap_or(open);
        let late = !within(first, targets.first_ms) || !within(open, targets.whole_ms);
        return late.then_some(false);
    }
    let gaps = targets
        .between_ms
        .is_none_or(|ms| gaps_within(&sent.gaps, ms));
    let first = sent
        .first
        .is_some_and(|first| within(first, targets.first_ms));
    let whole = within(sent.whole, targets.whole_ms);
    Some(sent.ending == RequestOutcome::Complete && first && whole && gaps)
}

fn gaps_within(gaps: &[u32], ms: u64) -> bool {
    let limit = ms.saturating_mul(1000);
    let longer = gaps.iter().filter(|&&gap| u64::from(gap) > limit).count();
    longer as f64 <= gaps.len() as f64 * GAP_SHARE
}

/// Tokens that came inside the window, of a request that was completed or still ran at the end.
///
/// A streamed answer counts token by token; another one with its end.
pub(crate) fn useful_tokens(sent: &Sent, class: &ClassShape, timing: &Timing) -> f64 {
    let Work::Model { stream, .. } = class.work else {
        return 0.0;
    };
    let inside = |at: f64| timing.warm <= at && at < timing.end;
    let useful = matches!(
        sent.ending,
        RequestOutcome::Complete | RequestOutcome::GaveUp
    );
    if !useful {
        return 0.0;
    }
    if !stream {
        let complete = sent.ending == RequestOutcome::Complete && inside(sent.due + sent.whole);
        return if complete { sent.tokens as f64 } else { 0.0 };
    }
    let Some(first) = sent.first else {
        return 0.0;
    };
    let mut at = sent.due + first;
    let mut count = u32::from(inside(at));
    for &gap in &sent.gaps {
        at += f64::from(gap) / 1e6;
        count += u32::from(inside(at));
    }
    f64::from(count)
}

fn causes(metrics: &[String]) -> BTreeMap<String, f64> {
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
pub(crate) fn quantile(values: impl Iterator<Item = f64>, part: f64) -> f64 {
    let mut all: Vec<f64> = values.collect();
    all.sort_by(f64::total_cmp);
    let at = (all.len() as f64 * part) as usize;
    all.get(at.min(all.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}
