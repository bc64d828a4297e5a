//! Counters of an engine.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of markers whose runs are counted.
const MAX_MARKERS: usize = 200_000;

/// Maximum number of cancellations kept.
const MAX_CANCELLATIONS: usize = 1024;

/// A request that was cancelled because its client disconnected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Cancellation {
    /// Marker of the request.
    pub marker: String,
    /// Time of the cancellation, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Tokens generated before the cancellation.
    pub tokens: u32,
    /// Microseconds between the disconnect and the cancellation, if a `hang-up` command reported
    /// the disconnect.
    pub after_us: Option<u64>,
}

/// Maximum number of orders kept.
const MAX_ORDERS: usize = 1024;

/// An order that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct OrderRecord {
    /// Time of the order, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Fencing token.
    pub fence: u64,
    /// `load`, `unload` or `role`.
    pub kind: String,
    /// The model or the role.
    pub subject: String,
    /// Whether it changed anything; loading a model that is already there needs no weight store.
    pub changed: bool,
}

/// Counters of an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct EngineStats {
    /// Requests admitted to the queue.
    pub started: u64,
    /// Requests whose complete response was handed to the connection.
    pub completed: u64,
    /// Requests whose client disconnected before the end, also during a stall.
    pub cancelled: u64,
    /// Requests that were truncated or lost in a crash.
    pub failed: u64,
    /// Requests that received an error status.
    pub refused: u64,
    /// Tokens of completed requests.
    pub useful_tokens: u64,
    /// Tokens of cancelled requests.
    pub cancelled_tokens: u64,
    /// Tokens of failed requests.
    pub failed_tokens: u64,
    /// Prompts whose prefix was cached.
    pub prefix_hits: u64,
    /// Prompts whose prefix wasn't cached.
    pub prefix_misses: u64,
    /// Orders that were carried out.
    pub orders_done: u64,
    /// Orders refused because of an older fencing token.
    pub orders_refused: u64,
    /// Requests in the batch.
    pub running: u64,
    /// Requests in the queue.
    pub waiting: u64,
    /// Number of runs of each marker that ran more than once.
    pub repeated: BTreeMap<String, u64>,
    /// Distinct markers counted.
    pub markers: u64,
    /// Requests whose marker wasn't counted because the maximum number of markers was reached.
    pub uncounted: u64,
    /// The latest cancellations.
    pub cancellations: Vec<Cancellation>,
    /// The latest orders that were carried out.
    pub orders: Vec<OrderRecord>,
}

/// Counters and run counts by marker.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) stats: EngineStats,
    runs: HashMap<String, u64>,
    disconnects: BTreeMap<String, u64>,
}

impl Counters {
    /// Counts a run of `marker`.
    pub(super) fn record_run(&mut self, marker: &str) {
        self.stats.started += 1;
        if let Some(runs) = self.runs.get_mut(marker) {
            *runs += 1;
            self.stats.repeated.insert(marker.to_owned(), *runs);
        } else if self.runs.len() < MAX_MARKERS {
            self.runs.insert(marker.to_owned(), 1);
            self.stats.markers += 1;
        } else {
            self.stats.uncounted += 1;
        }
    }

    /// Returns how often `marker` ran.
    pub(super) fn runs(&self, marker: &str) -> u64 {
        self.runs.get(marker).copied().unwrap_or(0)
    }

    /// Returns how often each marker ran.
    pub(super) fn runs_by_marker(&self) -> HashMap<String, u64> {
        self.runs.clone()
    }

    /// Records that the client of `marker` disconnects now.
    pub(super) fn record_disconnect(&mut self, marker: String) {
        let now = unix_micros();
        let cancellations = self.stats.cancellations.iter_mut();
        // The command and the disconnect arrive on different connections, so the cancellation may
        // have been recorded first.
        let mut same = cancellations.filter(|c| c.marker == marker);
        if let Some(cancellation) = same.next_back() {
            cancellation.after_us.get_or_insert(0);
            return;
        }
        if self.disconnects.len() < MAX_CANCELLATIONS {
            self.disconnects.insert(marker, now);
        }
    }

    /// Counts a request whose client disconnected.
    pub(super) fn record_cancellation(&mut self, marker: &str, tokens: u32) {
        let at_us = unix_micros();
        let disconnected_at = self.disconnects.remove(marker);
        self.stats.cancelled += 1;
        self.stats.cancelled_tokens += u64::from(tokens);
        if self.stats.cancellations.len() == MAX_CANCELLATIONS {
            self.stats.cancellations.remove(0);
        }
        self.stats.cancellations.push(Cancellation {
            marker: marker.to_owned(),
            at_us,
            tokens,
            after_us: disconnected_at.map(|at| at_us.saturating_sub(at)),
        });
    }

    /// Counts an order that was carried out.
    pub(super) fn record_order(&mut self, fence: u64, kind: &str, subject: &str, changed: bool) {
        self.stats.orders_done += 1;
        if self.stats.orders.len() == MAX_ORDERS {
            self.stats.orders.remove(0);
        }
        self.stats.orders.push(OrderRecord {
            at_us: unix_micros(),
            fence,
            kind: kind.to_owned(),
            subject: subject.to_owned(),
            changed,
        });
    }

    /// Counts a request that was ended by a fault.
    pub(super) fn record_failure(&mut self, tokens: u32) {
        self.stats.failed += 1;
        self.stats.failed_tokens += u64::from(tokens);
    }

    /// Counts a request whose complete response was sent.
    pub(super) fn record_completion(&mut self, tokens: u32) {
        self.stats.completed += 1;
        self.stats.useful_tokens += u64::from(tokens);
    }
}

fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_micros() as u64)
}
