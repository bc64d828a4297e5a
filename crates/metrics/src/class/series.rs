//! Registration and removal of the series of a class.

use prometheus::Counter;
use prometheus::CounterVec;
use prometheus::Gauge;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::core::Collector;

use crate::buckets;
use crate::class::ClassSettings;
use crate::instance;
use crate::record::RefusalReason;
use crate::record::RequestEnd;
use crate::record::WasteCause;
use crate::window::Counts;
use crate::window::Window;

/// The collectors registered for a class, which are removed together.
///
/// Each class has separate collectors with the class as a constant label. This allows histograms
/// with buckets at the targets of the class, and a removed class leaves no series behind.
pub(crate) struct CollectorGroup {
    registry: Registry,
    class: String,
    collectors: Vec<Box<dyn Collector>>,
}

impl CollectorGroup {
    pub(crate) fn new(registry: &Registry, class: &str) -> CollectorGroup {
        CollectorGroup {
            registry: registry.clone(),
            class: class.to_owned(),
            collectors: Vec::new(),
        }
    }

    fn add<C: Collector + Clone + 'static>(&mut self, collector: C) -> C {
        self.collectors.push(Box::new(collector.clone()));
        instance::register(&self.registry, collector)
    }

    fn opts(&self, name: &str, help: &str) -> Opts {
        Opts::new(name, help).const_label("class", &*self.class)
    }

    fn counter(&mut self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::with_opts(self.opts(name, help));
        self.add(counter.expect("constant names are valid"))
    }

    fn gauge(&mut self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::with_opts(self.opts(name, help));
        self.add(gauge.expect("constant names are valid"))
    }

    fn float_gauge(&mut self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::with_opts(self.opts(name, help));
        self.add(gauge.expect("constant names are valid"))
    }

    fn counters(&mut self, name: &str, help: &str, label: &str) -> IntCounterVec {
        let family = IntCounterVec::new(self.opts(name, help), &[label]);
        self.add(family.expect("constant names are valid"))
    }

    fn float_counters(&mut self, name: &str, help: &str, label: &str) -> CounterVec {
        let family = CounterVec::new(self.opts(name, help), &[label]);
        self.add(family.expect("constant names are valid"))
    }

    fn gauges(&mut self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let family = IntGaugeVec::new(self.opts(name, help), labels);
        self.add(family.expect("constant names are valid"))
    }

    fn histogram(&mut self, name: &str, help: &str, bounds: Vec<f64>) -> Histogram {
        let opts = HistogramOpts::new(name, help)
            .const_label("class", &*self.class)
            .buckets(bounds);
        let histogram = Histogram::with_opts(opts);
        self.add(histogram.expect("bounds grow and constant names are valid"))
    }

    /// Removes the group's series from the registry.
    pub(crate) fn unregister(self) {
        for collector in self.collectors {
            let removed = self.registry.unregister(collector);
            debug_assert!(removed.is_ok(), "a group holds only what it registered");
        }
    }
}

/// The series of compute wasted for one cause.
#[derive(Debug)]
pub(crate) struct WasteSeries {
    pub(crate) tokens: IntCounter,
    pub(crate) seconds: Counter,
}

/// The gauges of a window.
#[derive(Debug)]
pub(crate) struct WindowSeries {
    attained: IntGauge,
    missed: IntGauge,
}

impl WindowSeries {
    pub(crate) fn set(&self, counts: Counts) {
        self.attained
            .set(i64::try_from(counts.attained).unwrap_or(i64::MAX));
        self.missed
            .set(i64::try_from(counts.missed).unwrap_or(i64::MAX));
    }
}

/// The counters and gauges of a class.
#[derive(Debug)]
pub(crate) struct CountSeries {
    completed: IntCounter,
    cut: IntCounter,
    cancelled: IntCounter,
    unknown: IntCounter,
    refused: [IntCounter; RefusalReason::ALL.len()],
    pub(crate) attained: IntCounter,
    pub(crate) missed: IntCounter,
    pub(crate) goodput_requests: IntCounter,
    pub(crate) goodput_tokens: IntCounter,
    pub(crate) waste: [WasteSeries; WasteCause::ALL.len()],
    pub(crate) queue: IntGauge,
    pub(crate) running: IntGauge,
    pub(crate) retries: IntCounter,
    pub(crate) objective: Gauge,
    pub(crate) windows: [WindowSeries; Window::ALL.len()],
}

impl CountSeries {
    pub(crate) fn register(group: &mut CollectorGroup) -> CountSeries {
        let ends = ends(group);
        let end = |e: RequestEnd| ends.with_label_values(&[e.label(), ""]);
        CountSeries {
            completed: end(RequestEnd::Completed),
            cut: end(RequestEnd::Cut),
            cancelled: end(RequestEnd::Cancelled),
            unknown: end(RequestEnd::Unknown),
            refused: RefusalReason::ALL
                .map(|reason| ends.with_label_values(&["refused", reason.label()])),
            attained: group.counter("crocushold_attained_total", "Requests within all targets."),
            missed: group.counter(
                "crocushold_missed_total",
                "Requests late, cut, lost, or refused for want of capacity.",
            ),
            goodput_requests: group.counter(
                "crocushold_goodput_requests_total",
                "Requests answered whole.",
            ),
            goodput_tokens: group.counter(
                "crocushold_goodput_tokens_total",
                "Tokens of requests answered whole.",
            ),
            waste: waste(group),
            queue: group.gauge("crocushold_queue_length", "Requests queued."),
            running: group.gauge("crocushold_in_flight", "Requests in flight."),
            retries: group.counter("crocushold_retries_total", "Requests sent again."),
            objective: group.float_gauge(
                "crocushold_class_objective_ratio",
                "Share of requests that should attain their targets.",
            ),
            windows: windows(group),
        }
    }

    pub(crate) fn end_counter(&self, end: RequestEnd) -> &IntCounter {
        match end {
            RequestEnd::Completed => &self.completed,
            RequestEnd::Cut => &self.cut,
            RequestEnd::Refused(reason) => &self.refused[reason as usize],
            RequestEnd::Cancelled => &self.cancelled,
            RequestEnd::Unknown => &self.unknown,
        }
    }
}

/// The histograms of a class, with buckets at its targets.
#[derive(Clone, Debug)]
pub(crate) struct DurationSeries {
    pub(crate) wait: Histogram,
    pub(crate) first_token: Histogram,
    pub(crate) token_gap: Histogram,
    pub(crate) answer: Histogram,
}

impl DurationSeries {
    pub(crate) fn register(group: &mut CollectorGroup, settings: &ClassSettings) -> DurationSeries {
        let queue_wait_target = settings.first_token.or(settings.whole);
        DurationSeries {
            wait: group.histogram(
                "crocushold_queue_wait_seconds",
                "Time in the queue.",
                buckets::bounds_for(queue_wait_target),
            ),
            first_token: group.histogram(
                "crocushold_first_token_seconds",
                "Time to the first token.",
                buckets::bounds_for(settings.first_token),
            ),
            token_gap: group.histogram(
                "crocushold_token_gap_seconds",
                "Time between two tokens.",
                buckets::bounds_for(settings.token_gap),
            ),
            answer: group.histogram(
                "crocushold_answer_seconds",
                "Time to the whole answer, of completed requests.",
                buckets::bounds_for(settings.whole),
            ),
        }
    }
}

fn ends(group: &mut CollectorGroup) -> IntCounterVec {
    let opts = group.opts("crocushold_requests_total", "Finished requests.");
    let family = IntCounterVec::new(opts, &["end", "reason"]);
    group.add(family.expect("constant names are valid"))
}

fn waste(group: &mut CollectorGroup) -> [WasteSeries; WasteCause::ALL.len()] {
    let tokens = group.counters(
        "crocushold_wasted_tokens_total",
        "Tokens generated for nothing.",
        "cause",
    );
    let seconds = group.float_counters(
        "crocushold_wasted_seconds_total",
        "Time on backend servers spent for nothing.",
        "cause",
    );
    WasteCause::ALL.map(|cause| WasteSeries {
        tokens: tokens.with_label_values(&[cause.label()]),
        seconds: seconds.with_label_values(&[cause.label()]),
    })
}

fn windows(group: &mut CollectorGroup) -> [WindowSeries; Window::ALL.len()] {
    let family = group.gauges(
        "crocushold_window_requests",
        "Requests by verdict over a sliding window.",
        &["window", "verdict"],
    );
    Window::ALL.map(|window| WindowSeries {
        attained: family.with_label_values(&[window.label(), "attained"]),
        missed: family.with_label_values(&[window.label(), "missed"]),
    })
}
