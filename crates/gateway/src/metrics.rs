//! Counters and latency histograms.

use std::collections::BTreeMap;

use crocushold_admission::LineReturns;
use crocushold_admission::LineStatus;
use crocushold_base::Millis;
use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency histograms, in seconds, from a plain call to a long stream.
const BUCKETS: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// The metrics of an instance. Label values come from fixed sets, so the number of series is
/// bounded.
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    attempts: IntCounterVec,
    ends: IntCounterVec,
    seconds: HistogramVec,
    unanswered: IntCounterVec,
    late_timers: IntCounter,
    turned_away: IntCounter,
    ended_waits: IntCounterVec,
    memory_bound: IntGauge,
    malformed: IntCounter,
    listing_pages: IntCounter,
    listed_entries: IntGauge,
    placements: IntCounterVec,
    left_out: IntCounter,
    absurd_loads: IntCounter,
    server_ends: IntCounterVec,
    notices: IntCounterVec,
    relayed: IntCounterVec,
    resumptions: IntCounterVec,
    known_streams: IntGauge,
    quarantined: IntGauge,
    quarantined_parts: IntGauge,
    unreachable: IntGauge,
    path_lost: IntGauge,
    slow_servers: IntGauge,
    version: IntGauge,
    running: IntGauge,
    line_waiting: IntGaugeVec,
    line_oldest: IntGaugeVec,
    line_returns: IntCounterVec,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let requests = counters(
            "crocushold_requests_total",
            "Requests by what may be repeated, rank and outcome",
            &["repeat", "priority", "outcome"],
        );
        let attempts = counters(
            "crocushold_attempts_total",
            "Attempts at servers by how they ended",
            &["outcome"],
        );
        let ends = counters(
            "crocushold_answer_ends_total",
            "Relayed answers by what delimits them and how they ended",
            &["delimiter", "end"],
        );
        let options = HistogramOpts::new(
            "crocushold_answer_seconds",
            "From a request's head to the head of its answer, and to its end",
        );
        let options = options.buckets(BUCKETS.to_vec());
        let seconds = HistogramVec::new(options, &["repeat", "priority", "until"]);
        let seconds = seconds.expect("the names are valid");
        let unanswered = counters(
            "crocushold_streams_unanswered_total",
            "Streams that ended before their first event, by rank and outcome",
            &["priority", "outcome"],
        );
        let late_timers = IntCounter::new(
            "crocushold_timers_late_total",
            "Rounds of timers that ran late, as the process had no processor time",
        );
        let late_timers = late_timers.expect("the name is valid");
        let turned_away = IntCounter::new(
            "crocushold_connections_turned_away_total",
            "Connections of callers that were closed unread, as they could not be served in time",
        );
        let turned_away = turned_away.expect("the name is valid");
        let ended_waits = Opts::new(
            "crocushold_waits_ended_total",
            "Waits for callers that were ended, as others needed their connection or memory",
        );
        let ended_waits = IntCounterVec::new(ended_waits, &["awaited"]);
        let ended_waits = ended_waits.expect("the name is valid");
        let memory_bound = IntGauge::new(
            "crocushold_memory_bound_bytes",
            "Most that callers can make the instance hold, beside what it takes without them",
        );
        let memory_bound = memory_bound.expect("the name is valid");
        let malformed = IntCounter::new(
            "crocushold_entries_malformed_total",
            "Published entries that couldn't be read",
        );
        let malformed = malformed.expect("the name is valid");
        let listing_pages = IntCounter::new(
            "crocushold_store_listing_pages_total",
            "Pages of listings of the store that another page followed",
        );
        let listing_pages = listing_pages.expect("the name is valid");
        let listed_entries = gauge(
            "crocushold_store_listing_entries",
            "Entries that the running listing of the store holds",
        );
        let placements = counters(
            "crocushold_placements_total",
            "Questions where a request should go, by what came of them",
            &["outcome"],
        );
        let left_out = IntCounter::new(
            "crocushold_queues_left_out_total",
            "Rounds in which there were more engines with a queue than messages could name",
        );
        let left_out = left_out.expect("the name is valid");
        let absurd_loads = IntCounter::new(
            "crocushold_loads_absurd_total",
            "Answers whose load report says a time that no work can take",
        );
        let absurd_loads = absurd_loads.expect("the name is valid");
        let server_ends = counters(
            "crocushold_server_ends_total",
            "Servers that ended under requests of this instance, by what told so",
            &["evidence"],
        );
        let notices = counters(
            "crocushold_server_notices_total",
            "Answers in which servers said that they are leaving, or asked for rest",
            &["notice"],
        );
        let relayed = counters(
            "crocushold_relayed_total",
            "Requests relayed to another instance (out) or from one (in), by outcome",
            &["direction", "outcome"],
        );
        let resumptions = counters(
            "crocushold_resumptions_total",
            "Streams that callers took up again, by how the version that began them was known",
            &["source"],
        );
        let known_streams = gauge(
            "crocushold_streams_known",
            "Streams of which this instance knows the version that began them",
        );
        let quarantined = gauge(
            "crocushold_quarantined_contents",
            "Requests that are held back, as servers ended under them",
        );
        let quarantined_parts = gauge(
            "crocushold_quarantined_parts",
            "Prompt parts whose requests are held back, as servers ended under them",
        );
        let unreachable = gauge(
            "crocushold_servers_unreachable",
            "Servers to which this instance can't open connections",
        );
        let path_lost = gauge(
            "crocushold_path_lost",
            "Whether this instance reaches no server",
        );
        let slow_servers = gauge(
            "crocushold_servers_slow",
            "Servers by whose last reports work takes at least 1.5 times as long as usual there",
        );
        let version = gauge("crocushold_config_version", "The configuration in force");
        let running = gauge("crocushold_requests_running", "Requests in progress");
        let line_waiting = gauges(
            "crocushold_line_waiting",
            "Requests that wait in the line of this instance, by rank",
        );
        let line_oldest = gauges(
            "crocushold_line_oldest_milliseconds",
            "How long the first request in the line of this instance has waited, by rank",
        );
        let line_returns = counters(
            "crocushold_line_returns_total",
            "Requests that came back after a refusal by the line, by whether that was in their time",
            &["kind"],
        );
        let collectors: [Box<dyn prometheus::core::Collector>; 30] = [
            Box::new(requests.clone()),
            Box::new(attempts.clone()),
            Box::new(ends.clone()),
            Box::new(seconds.clone()),
            Box::new(unanswered.clone()),
            Box::new(late_timers.clone()),
            Box::new(turned_away.clone()),
            Box::new(ended_waits.clone()),
            Box::new(memory_bound.clone()),
            Box::new(malformed.clone()),
            Box::new(listing_pages.clone()),
            Box::new(listed_entries.clone()),
            Box::new(placements.clone()),
            Box::new(left_out.clone()),
            Box::new(absurd_loads.clone()),
            Box::new(server_ends.clone()),
            Box::new(notices.clone()),
            Box::new(relayed.clone()),
            Box::new(resumptions.clone()),
            Box::new(known_streams.clone()),
            Box::new(quarantined.clone()),
            Box::new(quarantined_parts.clone()),
            Box::new(unreachable.clone()),
            Box::new(path_lost.clone()),
            Box::new(slow_servers.clone()),
            Box::new(version.clone()),
            Box::new(running.clone()),
            Box::new(line_waiting.clone()),
            Box::new(line_oldest.clone()),
            Box::new(line_returns.clone()),
        ];
        for collector in collectors {
            let registered = registry.register(collector);
            registered.expect("each name is registered once");
        }
        Metrics {
            registry,
            requests,
            attempts,
            ends,
            seconds,
            unanswered,
            late_timers,
            turned_away,
            ended_waits,
            memory_bound,
            malformed,
            listing_pages,
            listed_entries,
            placements,
            left_out,
            absurd_loads,
            server_ends,
            notices,
            relayed,
            resumptions,
            known_streams,
            quarantined,
            quarantined_parts,
            unreachable,
            path_lost,
            slow_servers,
            version,
            running,
            line_waiting,
            line_oldest,
            line_returns,
        }
    }

    pub(crate) fn set_config_version(&self, version: u64) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Counts published entries that couldn't be decoded.
    pub(crate) fn add_malformed_entries(&self, count: u64) {
        self.malformed.inc_by(count);
    }

    /// Counts a page of a listing that holds `entries` so far.
    pub(crate) fn count_listing_page(&self, entries: usize) {
        self.listing_pages.inc();
        self.set_listed_entries(entries);
    }

    /// Sets the number of entries that the running listing holds.
    pub(crate) fn set_listed_entries(&self, entries: usize) {
        self.listed_entries
            .set(entries.try_into().unwrap_or(i64::MAX));
    }

    /// Counts the outcome of a placement request.
    pub(crate) fn count_placement(&self, outcome: &str) {
        self.placements.with_label_values(&[outcome]).inc();
    }

    /// Counts a gossip round that couldn't list all engines with a queue.
    pub(crate) fn count_truncated_round(&self) {
        self.left_out.inc();
    }

    /// Counts an answer whose load report says a time that no work can take. Returns whether it is the
    /// first one.
    pub(crate) fn count_absurd_load(&self) -> bool {
        self.absurd_loads.inc();
        self.absurd_loads.get() == 1
    }

    /// Counts a server that ended under requests of this instance.
    pub(crate) fn count_server_end(&self, evidence: &str) {
        self.server_ends.with_label_values(&[evidence]).inc();
    }

    /// Counts an answer that says which requests its server accepts.
    pub(crate) fn count_notice(&self, notice: &str) {
        self.notices.with_label_values(&[notice]).inc();
    }

    /// Counts a request that was relayed to another instance or from one.
    pub(crate) fn count_relayed(&self, direction: &str, outcome: &str) {
        self.relayed.with_label_values(&[direction, outcome]).inc();
    }

    /// Counts a stream that a caller takes up.
    pub(crate) fn count_resumption(&self, source: &str) {
        self.resumptions.with_label_values(&[source]).inc();
    }

    /// Sets the number of streams whose origins are known.
    pub(crate) fn set_known_streams(&self, count: usize) {
        self.known_streams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of quarantined requests and of quarantined prompt parts.
    pub(crate) fn set_quarantined(&self, requests: usize, parts: usize) {
        self.quarantined
            .set(i64::try_from(requests).unwrap_or(i64::MAX));
        self.quarantined_parts
            .set(i64::try_from(parts).unwrap_or(i64::MAX));
    }

    /// Sets how many servers are out of reach, and whether all of them are taken to be.
    pub(crate) fn set_reach(&self, unreachable: usize, path_lost: bool) {
        self.unreachable
            .set(i64::try_from(unreachable).unwrap_or(i64::MAX));
        self.path_lost.set(i64::from(path_lost));
    }

    /// Sets the lengths and ages of the line, by rank.
    pub(crate) fn set_line(&self, ranks: &BTreeMap<u8, LineStatus>) {
        for label in RANKS {
            let ranks = ranks.iter().filter(|(own, _)| rank(**own) == label);
            let ranks = ranks.map(|(_, status)| status);
            let waiting: u32 = ranks.clone().map(|status| status.waiting).sum();
            let oldest = ranks.map(|status| status.oldest).max().unwrap_or_default();
            let oldest = i64::try_from(oldest.0).unwrap_or(i64::MAX);
            let labels = [label];
            self.line_waiting
                .with_label_values(&labels)
                .set(waiting.into());
            self.line_oldest.with_label_values(&labels).set(oldest);
        }
    }

    /// Counts requests that came back after a refusal by the line.
    pub(crate) fn count_line_returns(&self, returns: &LineReturns) {
        for (kind, count) in [("in-time", returns.in_time), ("early", returns.early)] {
            let counter = self.line_returns.with_label_values(&[kind]);
            counter.inc_by(count.into());
        }
    }

    /// Sets how many servers are slow at this moment.
    pub(crate) fn set_slow_servers(&self, count: usize) {
        self.slow_servers
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(crate) fn request_started(&self) {
        self.running.inc();
    }

    pub(crate) fn request_ended(&self, repeat: &str, priority: u8, outcome: &str) {
        self.running.dec();
        let priority = rank(priority);
        self.requests
            .with_label_values(&[repeat, priority, outcome])
            .inc();
    }

    /// Counts a stream that ended before its first event.
    pub(crate) fn count_unanswered(&self, priority: u8, outcome: &str) {
        let labels = [rank(priority), outcome];
        self.unanswered.with_label_values(&labels).inc();
    }

    pub(crate) fn count_turned_away(&self, count: u64) {
        self.turned_away.inc_by(count);
    }

    /// Counts waits of callers that were ended early, by what the callers were waited for: a request (`idle`), the
    /// end of its `head` or of its `body`, or to read the `answer`.
    pub(crate) fn count_ended_waits(&self, awaited: &str, count: u64) {
        self.ended_waits.with_label_values(&[awaited]).inc_by(count);
    }

    /// Sets the most memory that callers can make the instance hold, in bytes.
    pub(crate) fn set_memory_bound(&self, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.memory_bound.set(bytes);
    }

    pub(crate) fn count_late_timers(&self) {
        self.late_timers.inc();
    }

    pub(crate) fn count_attempt(&self, outcome: &str) {
        self.attempts.with_label_values(&[outcome]).inc();
    }

    /// Counts the end of a relayed answer.
    pub(crate) fn count_end(&self, delimiter: &str, end: &str) {
        self.ends.with_label_values(&[delimiter, end]).inc();
    }

    pub(crate) fn observe_latency(
        &self,
        repeat: &str,
        priority: u8,
        until: &str,
        duration: Millis,
    ) {
        let labels = [repeat, rank(priority), until];
        self.seconds
            .with_label_values(&labels)
            .observe(duration.as_secs_f64());
    }

    /// Encodes the metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        let mut bytes = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        encoded.expect("writing to memory can't fail");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Labels of ranks. All less urgent ranks share the last one.
const RANKS: [&str; 5] = ["0", "1", "2", "3", "4+"];

/// The label of a rank.
fn rank(priority: u8) -> &'static str {
    RANKS[usize::from(priority).min(RANKS.len() - 1)]
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("the names are valid")
}

fn gauges(name: &str, help: &str) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(name, help), &["priority"]).expect("the names are valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the name is valid")
}
