//! The series of one class, resolved once and updated without label lookups.

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

/// A class's name, targets and objective, from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Name of the class, the value of the `class` label.
    pub name: String,
    /// Target for the first token.
    pub first_token: Option<Millis>,
    /// Target for the mean time per output token after the first.
    pub token_gap: Option<Millis>,
    /// Target for the whole answer.
    pub whole: Option<Millis>,
    /// Share of requests that should attain their targets, 0 to 1.
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
    /// Judges a finished request against the targets.
    ///
    /// A cancelled request counts as missed once it was later than a target when the caller left:
    /// a caller who gave up because of the wait must not improve the figure. One that left in time
    /// is excluded.
    pub fn evaluate(&self, record: &RequestRecord) -> Verdict {
        match record.end {
            RequestEnd::Completed if self.late(record) => Verdict::Missed,
            RequestEnd::Completed => Verdict::Attained,
            RequestEnd::Cut | RequestEnd::Unknown => Verdict::Missed,
            RequestEnd::Refused(reason) if reason.spends_budget() => Verdict::Missed,
            RequestEnd::Refused(_) => Verdict::Excluded,
            RequestEnd::Cancelled if self.late(record) => Verdict::Missed,
            RequestEnd::Cancelled => Verdict::Excluded,
        }
    }

    fn late(&self, record: &RequestRecord) -> bool {
        let first = record.first_token.unwrap_or(record.whole);
        exceeds(Some(first), self.first_token)
            || exceeds(record.token_gap, self.token_gap)
            || exceeds(Some(record.whole), self.whole)
    }
}

fn exceeds(measured: Option<Millis>, target: Option<Millis>) -> bool {
    matches!((measured, target), (Some(m), Some(t)) if m > t)
}

/// Handles of one class's series; cheap to clone, and to update on the request path.
///
/// A handle that outlives its class (removed from the configuration, or registered again with other
/// targets) keeps working, and its requests are judged by the targets they started under.
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

/// What a class keeps when its targets change.
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

    /// Copies the sums over the windows into their gauges.
    pub(crate) fn refresh_windows(&self, now: Millis) {
        for (slot, window) in Window::ALL.into_iter().enumerate() {
            let sum = self.windows().sum(now, window);
            self.series.windows[slot].set(sum);
        }
    }

    fn windows(&self) -> MutexGuard<'_, Windows> {
        // A panic between two additions leaves whole numbers behind: the rings stay usable.
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

    /// The settings that requests of this handle are judged by.
    pub fn settings(&self) -> &ClassSettings {
        &self.shared.settings
    }

    /// Counts a request as queued until the guard is dropped.
    pub fn queued(&self) -> GaugeGuard {
        GaugeGuard::enter(&self.series().queue)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn running(&self) -> GaugeGuard {
        GaugeGuard::enter(&self.series().running)
    }

    /// Requests queued now.
    pub fn queue_length(&self) -> u64 {
        self.series().queue.get().unsigned_abs()
    }

    /// Requests in flight now.
    pub fn running_count(&self) -> u64 {
        self.series().running.get().unsigned_abs()
    }

    /// Records how long a request waited in the queue.
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

    /// Counts a repetition of a request on another backend server.
    pub fn retried(&self) {
        self.series().retries.inc();
    }

    /// Counts compute spent for nothing: tokens generated and time on the server.
    pub fn wasted(&self, cause: WasteCause, tokens: u64, time: Millis) {
        let waste = &self.series().waste[cause as usize];
        waste.tokens.inc_by(tokens);
        waste.seconds.inc_by(time.as_secs_f64());
    }

    /// Counts a finished request and judges it; call it exactly once for each request.
    pub fn finish(&self, record: &RequestRecord, now: Millis) -> Verdict {
        self.count_end(record);
        let verdict = self.settings().evaluate(record);
        self.count_verdict(verdict, now);
        verdict
    }

    /// Attained and missed requests over the window that ends at `now`.
    pub fn window(&self, now: Millis, window: Window) -> Counts {
        self.shared.counts.windows().sum(now, window)
    }

    fn count_end(&self, record: &RequestRecord) {
        let series = self.series();
        series.end(record.end).inc();
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

/// Keeps a gauge raised by one while it lives.
///
/// A request's task can be dropped at any await point; a guard lowers the gauge there too, where a
/// call at the end of the task would be skipped and the gauge would drift upwards for ever.
#[derive(Debug)]
pub struct GaugeGuard {
    gauge: IntGauge,
}

impl GaugeGuard {
    fn enter(gauge: &IntGauge) -> GaugeGuard {
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
