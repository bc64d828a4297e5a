//! The router's state of one server.

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;

use crate::brittle::Rejections;
use crate::cache::Cursor;
use crate::health::Fault;
use crate::health::Health;
use crate::health::Phase;
use crate::live_streams::LiveStreams;
use crate::pace::Pace;
use crate::queue_delay::QueueDelay;
use crate::region::RegionKey;
use crate::server_speed::ServerSpeed;
use crate::software::SoftwareKey;
use crate::stats::Ewma;
use crate::stats::Median;

/// A configured server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// The key by which events refer to it; never reused for another server.
    pub key: ServerKey,
    /// A hash of its published identity, the same on every entry instance.
    pub id: u64,
    /// Its availability zone.
    pub zone: String,
    /// The zone's region, if known.
    pub region: Option<RegionKey>,
    /// The version of its software, if known.
    pub software: Option<SoftwareKey>,
    /// Maximum number of concurrent requests from all entry instances together.
    pub concurrency: u32,
    /// The models it holds; none for a plain service.
    pub models: Vec<ModelKey>,
}

/// This instance's position among the entry instances that send to the same servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The number of instances that send to each server, including this one.
    pub instances: u32,
    /// This instance's index among them, from 0; different on each instance.
    pub index: u32,
}

impl Default for Share {
    fn default() -> Share {
        Share {
            instances: 1,
            index: 0,
        }
    }
}

impl Share {
    /// Returns this instance's share of `concurrency` on the server `id`, at least 1.
    ///
    /// The remainder goes to different instances for different servers, so that no instance gets
    /// every rounded-up slot. The shares of all instances add up to `concurrency`, unless there are
    /// more instances than slots. Then each instance takes one slot, and
    /// [`subset()`](crate::subset()) must reduce the number of instances per server.
    pub fn of(&self, concurrency: u32, id: u64) -> u32 {
        let instances = self.instances.max(1);
        let remainder = concurrency % instances;
        let turn = (u64::from(self.index) + id % u64::from(instances)) % u64::from(instances);
        let extra = u32::from(turn < u64::from(remainder));
        (concurrency / instances + extra).max(1)
    }
}

/// How much of a server this instance may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allotment {
    /// This instance is one of the server's senders, with this share of the concurrency.
    Own(Share),
    /// This instance isn't one of the server's senders, but its own servers can't serve. It may
    /// send one request at a time, and none while the last report shows that the server is full.
    Borrowed,
}

impl Allotment {
    /// Returns the maximum number of requests in flight on the server `id`.
    pub fn of(&self, concurrency: u32, id: u64) -> u32 {
        match self {
            Allotment::Own(share) => share.of(concurrency, id),
            Allotment::Borrowed => 1,
        }
    }
}

/// A server's load report, as received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Requests waiting inside the server.
    pub waiting: u32,
    /// How old the report was when it arrived.
    pub age: Millis,
    /// How long work takes on the server at this moment, in percent of the usual duration; `None`
    /// if the server doesn't say.
    pub work_percent: Option<u16>,
}

/// Whether a server accepts requests, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It accepts its full share of requests.
    Serving,
    /// It accepts a reduced number of requests after an ejection.
    Recovering,
    /// It is ejected until `until`.
    Out {
        /// The cause.
        fault: Fault,
        /// When it is tried again.
        until: Millis,
    },
    /// The instance list shows it as leaving.
    Leaving,
    /// It vanished from the instance list.
    Vanished,
    /// It was removed from the configuration and finishes its requests.
    Removed,
}

/// The status of a server, for a status page.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Whether it accepts requests, and why not.
    pub state: State,
    /// This instance's attempts in flight on it.
    pub in_flight: u32,
    /// Maximum number of attempts that this instance sends to it now; zero while it is ejected.
    pub limit: u32,
    /// Consecutive failures counted against it.
    pub failures: u32,
    /// Its time per token relative to its peers; 1 is the mean of the fleet.
    pub slowness: f64,
    /// Whether it is borrowed because this instance's own servers can't serve.
    pub borrowed: bool,
}

/// Why a server gets no new requests, apart from its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Departure {
    /// Listed as leaving.
    Leaving,
    /// No longer listed.
    Vanished,
    /// No longer configured.
    Removed,
}

/// A server's membership of a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) pool: usize,
    /// Its index among the pool's servers with a free slot.
    pub(crate) open: Option<usize>,
    /// Token gaps at the ends of streams, too few on each stream for a sample.
    pub(crate) leftover: LeftoverGaps,
}

/// A number of token gaps and their total time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeftoverGaps {
    /// The number of gaps.
    pub(crate) gaps: u32,
    /// Their total time.
    pub(crate) span: Millis,
}

impl Member {
    /// Creates a membership of `pool` without a free slot.
    pub(crate) fn of(pool: usize) -> Member {
        Member {
            pool,
            open: None,
            leftover: LeftoverGaps::default(),
        }
    }
}

/// A server's contribution to the counts of its pools.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SlotCounts {
    /// Free slots.
    pub(crate) free: u32,
    /// Whether it accepts requests at all.
    pub(crate) usable: bool,
}

/// A load report, less the attempts in flight when it arrived.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    remote_requests: f64,
    waiting: u32,
    measured_at: Millis,
}

/// A server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) spec: ServerSpec,
    pub(crate) same_zone: bool,
    pub(crate) share: u32,
    /// Whether it is borrowed: this instance isn't one of its senders, but its own servers can't
    /// serve.
    pub(crate) borrowed: bool,
    /// Whether the last report left no free slot.
    is_full: bool,
    pub(crate) health: Health,
    pub(crate) departure: Option<Departure>,
    pub(crate) in_flight: u32,
    /// Estimated tokens of the attempts in flight.
    pub(crate) tokens: u64,
    /// Logarithm of its time per token relative to its peers.
    pub(crate) slowness: Ewma,
    /// When a sample was last added to it.
    pub(crate) slowness_sampled: Millis,
    pub(crate) cursor: Cursor,
    pub(crate) members: Vec<Member>,
    /// The counts that the pools currently include.
    pub(crate) pool_counts: SlotCounts,
    /// The wait before a prompt's prefill starts.
    pub(crate) queue_delay: QueueDelay,
    /// The median of its streams' longest pauses, in milliseconds; `None` before the first one.
    pub(crate) median_pause: Option<Median>,
    /// Number of reported starts of its process.
    pub(crate) generation: u32,
    pub(crate) speed: ServerSpeed,
    pub(crate) live: LiveStreams,
    pub(crate) pace: Pace,
    /// The requests that it turned away lately.
    pub(crate) rejections: Rejections,
    report: Option<ReceivedReport>,
}

impl Server {
    /// Creates the state of a configured server, which is assumed to be healthy.
    pub(crate) fn new(spec: ServerSpec, same_zone: bool, allotment: Allotment) -> Server {
        let mut server = Server {
            spec,
            same_zone,
            share: 0,
            borrowed: false,
            is_full: false,
            health: Health::default(),
            departure: None,
            in_flight: 0,
            tokens: 0,
            slowness: Ewma::default(),
            slowness_sampled: Millis::ZERO,
            cursor: Cursor::default(),
            members: Vec::new(),
            pool_counts: SlotCounts::default(),
            queue_delay: QueueDelay::default(),
            median_pause: None,
            generation: 0,
            speed: ServerSpeed::default(),
            live: LiveStreams::default(),
            pace: Pace::default(),
            rejections: Rejections::default(),
            report: None,
        };
        server.allot(allotment);
        server
    }

    /// Forgets what was learned about the previous process.
    pub(crate) fn restart(&mut self) {
        self.generation += 1;
        self.is_full = false;
        self.slowness = Ewma::default();
        self.cursor.restart();
        self.queue_delay = QueueDelay::default();
        self.median_pause = None;
        self.speed = ServerSpeed::default();
        self.live = LiveStreams::default();
        self.report = None;
        self.pace.clear_limit();
        self.rejections = Rejections::default();
    }

    /// Sets how much of the server this instance may use.
    pub(crate) fn allot(&mut self, allotment: Allotment) {
        self.share = allotment.of(self.spec.concurrency, self.spec.id);
        self.borrowed = allotment == Allotment::Borrowed;
    }

    /// Returns the maximum number of attempts in flight, from its health and this instance's share.
    pub(crate) fn limit(&self) -> u32 {
        if self.departure.is_some() || self.is_reserved() {
            return 0;
        }
        match self.health.phase {
            Phase::Serving => self.share,
            Phase::Recovering { limit } => limit.min(self.share),
            Phase::Out { .. } => 0,
        }
    }

    /// Whether its remaining capacity is left to its own senders.
    ///
    /// When the whole fleet is overloaded, every instance lacks slots and borrows, and each full
    /// server would get one more request from every instance. A report that is a second late lets
    /// one request through, but no more, since a borrower holds at most one slot.
    fn is_reserved(&self) -> bool {
        self.borrowed && self.is_full
    }

    /// Returns the number of free slots.
    pub(crate) fn free(&self) -> u32 {
        self.limit().saturating_sub(self.in_flight)
    }

    /// Returns its current contribution to its pools' counts.
    pub(crate) fn slot_counts(&self) -> SlotCounts {
        SlotCounts {
            free: self.free(),
            usable: self.limit() > 0,
        }
    }

    /// Stores the part of a report that is due to other instances, and returns it.
    ///
    /// The report lags, and what this instance has sent or finished since is known exactly. So only
    /// the rest is kept: the report less the attempts in flight when it arrived.
    pub(crate) fn record_report(&mut self, report: LoadReport, now: Millis) -> f64 {
        let total = self.update_occupancy(report);
        let remote_requests = f64::from(total.saturating_sub(self.in_flight));
        let measured_at = Millis(now.0.saturating_sub(report.age.0));
        if let Some(percent) = report.work_percent {
            self.speed.record_pace(percent, measured_at);
        }
        self.report = Some(ReceivedReport {
            remote_requests,
            waiting: report.waiting,
            measured_at,
        });
        remote_requests
    }

    /// Returns true if its last report shows waiting requests, unless the report is older than
    /// `ttl`.
    pub(crate) fn has_queue(&self, ttl: Millis, now: Millis) -> bool {
        let fresh = |report: &ReceivedReport| now.since(report.measured_at) < ttl;
        self.report
            .filter(fresh)
            .is_some_and(|report| report.waiting > 0)
    }

    /// Returns the number of requests waiting inside the server by its last report, decayed with
    /// the report's age.
    pub(crate) fn queue_length(&self, ttl: Millis, now: Millis) -> f64 {
        self.report.map_or(0.0, |report| {
            let age = now.since(report.measured_at).0 as f64;
            let weight = (1.0 - age / ttl.0.max(1) as f64).max(0.0);
            weight * f64::from(report.waiting)
        })
    }

    /// Updates whether the server is full. Returns the number of its requests.
    pub(crate) fn update_occupancy(&mut self, report: LoadReport) -> u32 {
        let total = report.running.saturating_add(report.waiting);
        self.is_full = total >= self.spec.concurrency;
        total
    }

    /// Returns the estimated number of other instances' requests. `fleet_mean` is the mean over the
    /// fleet, to which the estimate decays as the last report ages.
    pub(crate) fn remote_requests(&self, fleet_mean: f64, ttl: Millis, now: Millis) -> f64 {
        let Some(report) = self.report else {
            return fleet_mean;
        };
        let age = now.since(report.measured_at).0 as f64;
        let weight = (1.0 - age / ttl.0.max(1) as f64).max(0.0);
        weight * report.remote_requests + (1.0 - weight) * fleet_mean
    }

    /// Returns its status.
    pub(crate) fn standing(&self) -> Standing {
        let state = match (self.departure, self.health.phase) {
            (Some(Departure::Leaving), _) => State::Leaving,
            (Some(Departure::Vanished), _) => State::Vanished,
            (Some(Departure::Removed), _) => State::Removed,
            (None, Phase::Serving) => State::Serving,
            (None, Phase::Recovering { .. }) => State::Recovering,
            (None, Phase::Out { fault, until }) => State::Out { fault, until },
        };
        Standing {
            state,
            in_flight: self.in_flight,
            limit: self.limit(),
            failures: self.health.failures(),
            slowness: self.slowness.mean().exp(),
            borrowed: self.borrowed,
        }
    }
}
