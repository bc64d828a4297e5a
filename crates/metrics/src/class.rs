//! The series of a class, resolved once and updated without label lookups.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crocushold_base::Millis;
use prometheus::IntGauge;

use crate::class::series::CountSeries;
use crate::class::series::DurationSeries;
use crate::record::RequestEnd;
use crate::record::RequestRecord;
use crate::record::Verdict;
use crate::record::WasteCause;
use crate::window::Counts;
use crate::window::Window;
use crate::window::Windows;

pub(crate) mod series;

/// The name, targets and objective of a class, from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// The name of the class, which is the value of the `class` label.
    pub name: String,
    /// The target for the time to the first token.
    pub first_token: Option<Millis>,
    /// The target for the mean time per output token after the first.
    pub token_gap: Option<Millis>,
    /// The target for the time to the whole answer.
    pub whole: Option<Millis>,
    /// The share of requests that should attain their targets, 0 to 1.
    pub objective: f64,
}

impl Default for ClassSettings {
    fn default() -> ClassSettings {
        ClassSettings {
            name: String::new(),
            first_token: None,
            token_gap: None,
            whole: None,
            objective: 0.99,
        }
    }
}

impl ClassSettings {
    /// Evaluates a finished request against the targets.
    ///
    /// A cancelled request counts as missed if a target was already exceeded when the caller left,
    /// so that callers who give up because of the wait don't improve the figure. Otherwise it is
    /// excluded.
    pub fn evaluate(&self, record: &RequestRecord) -> Verdict {
        match record.end {
            RequestEnd::Completed if self.exceeds_targets(record) => Verdict::Missed,
            RequestEnd::Completed => Verdict::Attained,
            RequestEnd::Cut | RequestEnd::Unknown => Verdict::Missed,
            RequestEnd::Refused(reason) if reason.spends_budget() => Verdict::Missed,
            RequestEnd::Refused(_) => Verdict::Excluded,
            RequestEnd::Cancelled if self.exceeds_targets(record) => Verdict::Missed,
            RequestEnd::Cancelled => Verdict::Excluded,
        }
    }

    fn exceeds_targets(&self, record: &RequestRecord) -> bool {
        let first = record.first_token.unwrap_or(record.whole);
        exceeds(Some(first), self.first_token)
            || exceeds(record.token_gap, self.token_gap)
            || exceeds(Some(record.whole), self.whole)
    }
}

fn exceeds(measured: Option<Millis>, target: Option<Millis>) -> bool {
    matches!((measured, target), (Some(m), Some(t)) if m > t)
}

/// Handles to the series of a class. Cloning them and updating them on the request path is cheap.
///
/// A handle stays usable after its class is removed from the configuration or registered again with
/// other targets, and its requests are evaluated against the targets they started with.
#[derive(Clone, Debug)]
pub struct ClassMetrics {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: ClassSettings,
    counts: Arc<ClassCounts>,
    durations: DurationSeries,
}

/// The series and windows that a class keeps when its targets change.
#[derive(Debug)]
pub(crate) struct ClassCounts {
    pub(crate) series: CountSeries,
    windows: Mutex<Windows>,
}

impl ClassCounts {
    pub(crate) fn new(series: CountSeries) -> ClassCounts {
        ClassCounts {
            series,
            windows: Mutex::new(Windows::new()),
        }
    }

    /// Sets the gauges of the windows to their sums at `now`.
    pub(crate) fn refresh_windows(&self, now: Millis) {
        for (slot, window) in Window::ALL.into_iter().enumerate() {
            let sum = self.windows().sum(now, window);
            self.series.windows[slot].set(sum);
        }
    }

    fn windows(&self) -> MutexGuard<'_, Windows> {
        // A panic between two additions leaves the rings in a valid state.
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ClassMetrics {
    pub(crate) fn new(
        settings: ClassSettings,
        counts: Arc<ClassCounts>,
        durations: DurationSeries,
    ) -> ClassMetrics {
        let shared = Shared {
            settings,
            counts,
            durations,
        };
        ClassMetrics {
            shared: Arc::new(shared),
        }
    }

    /// The settings against which the requests of this handle are evaluated.
    pub fn settings(&self) -> &ClassSettings {
        &self.shared.settings
    }

    /// Counts a request as queued until the guard is dropped.
    pub fn queued(&self) -> GaugeGuard {
        GaugeGuard::increment(&self.series().queue)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn running(&self) -> GaugeGuard {
        GaugeGuard::increment(&self.series().running)
    }

    /// The number of queued requests.
    pub fn queue_length(&self) -> u64 {
        self.series().queue.get().unsigned_abs()
    }

    /// The number of requests in flight.
    pub fn running_count(&self) -> u64 {
        self.series().running.get().unsigned_abs()
    }

    /// Records the time that a request waited in the queue.
    pub fn observe_wait(&self, waited: Millis) {
        self.shared.durations.wait.observe(waited.as_secs_f64());
    }

    /// Records the time to the first token.
    pub fn observe_first_token(&self, elapsed: Millis) {
        let histogram = &self.shared.durations.first_token;
        histogram.observe(elapsed.as_secs_f64());
    }

    /// Records the time between two tokens.
    pub fn observe_token_gap(&self, gap: Millis) {
        self.shared.durations.token_gap.observe(gap.as_secs_f64());
    }

    /// Counts a retry of a request on another backend server.
    pub fn retried(&self) {
        self.series().retries.inc();
    }

    /// Counts wasted compute: generated tokens and time on the server.
    pub fn wasted(&self, cause: WasteCause, tokens: u64, time: Millis) {
        let waste = &self.series().waste[cause as usize];
        waste.tokens.inc_by(tokens);
        waste.seconds.inc_by(time.as_secs_f64());
    }

    /// Counts a finished request and evaluates it. Must be called exactly once for each request.
    pub fn finish(&self, record: &RequestRecord, now: Millis) -> Verdict {
        self.count_end(record);
        let verdict = self.settings().evaluate(record);
        self.count_verdict(verdict, now);
        verdict
    }

    /// The attained and missed requests over the window that ends at `now`.
    pub fn window(&self, now: Millis, window: Window) -> Counts {
        self.shared.counts.windows().sum(now, window)
    }

    fn count_end(&self, record: &RequestRecord) {
        let series = self.series();
        series.end_counter(record.end).inc();
        if record.end == RequestEnd::Completed {
            series.goodput_requests.inc();
            series.goodput_tokens.inc_by(record.tokens);
            let histogram = &self.shared.durations.answer;
            histogram.observe(record.whole.as_secs_f64());
        }
    }

    fn count_verdict(&self, verdict: Verdict, now: Millis) {
        let (series, counts) = match verdict {
            Verdict::Attained => (&self.series().attained, Counts::ATTAINED),
            Verdict::Missed => (&self.series().missed, Counts::MISSED),
            Verdict::Excluded => return,
        };
        series.inc();
        self.shared.counts.windows().add(now, counts);
    }

    fn series(&self) -> &CountSeries {
        &self.shared.counts.series
    }
}

/// Increments a gauge, and decrements it when dropped.
///
/// The task of a request can be dropped at any await point. A call at the end of the task would
/// then be skipped, and the gauge would drift upwards.
#[derive(Debug)]
pub struct GaugeGuard {
    gauge: IntGauge,
}

impl GaugeGuard {
    fn increment(gauge: &IntGauge) -> GaugeGuard {
        gauge.inc();
        GaugeGuard {
            gauge: gauge.clone(),
        }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}
