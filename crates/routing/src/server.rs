//! What the router holds of one server.

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;

use crate::cache::Cursor;
use crate::delay::Delay;
use crate::health::Fault;
use crate::health::Health;
use crate::health::Phase;
use crate::region::RegionKey;
use crate::slow_start::SlowStart;
use crate::stats::Ewma;
use crate::stats::Median;

/// A server as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// The key that events name it by; never reused for another server.
    pub key: ServerKey,
    /// A hash of its published identity, the same on every entry instance.
    pub id: u64,
    /// Its availability zone.
    pub zone: String,
    /// The zone's region, where that is known.
    pub region: Option<RegionKey>,
    /// Requests it may run at a time, over all entry instances.
    pub concurrency: u32,
    /// The models it holds; none for a plain service.
    pub models: Vec<ModelKey>,
}

/// This instance's place among the entry instances that send to the same servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// How many instances send to each server, itself included.
    pub instances: u32,
    /// This instance's number among them, from 0; a different one on each.
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
    /// This instance's part of `concurrency` on the server `id`, at least 1.
    ///
    /// The remainder goes to different instances for different servers, so that no instance gets
    /// every rounded-up slot. Over all instances the parts add up to `concurrency`, unless there
    /// are more instances than slots: then each takes one, and [`subset()`](crate::subset())
    /// has to bring the number of instances per server down.
    pub fn of(&self, concurrency: u32, id: u64) -> u32 {
        let instances = self.instances.max(1);
        let rest = concurrency % instances;
        let turn = (u64::from(self.index) + id % u64::from(instances)) % u64::from(instances);
        let extra = u32::from(turn < u64::from(rest));
        (concurrency / instances + extra).max(1)
    }
}

/// How much of a server this instance may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allotment {
    /// It is one of the server's senders, with this part of the concurrency.
    Own(Share),
    /// It isn't one of the server's senders, but its own servers can't serve: one request at a
    /// time, and none while the last report says that the server is full.
    Borrowed,
}

impl Allotment {
    /// The most requests in flight on the server `id`.
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
    /// Requests it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// How old the report was when it arrived.
    pub age: Millis,
}

/// Why a server takes no new work, or how much it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// In, with its full share.
    Serving,
    /// In, with a reduced limit after it was out.
    Recovering,
    /// Out until then.
    Out {
        /// Why.
        fault: Fault,
        /// When it is tried again.
        until: Millis,
    },
    /// The instance list says that it is leaving.
    Leaving,
    /// It vanished from the instance list.
    Vanished,
    /// It was taken out of the configuration and finishes what it has.
    Removed,
}

/// How a server stands, for a status page.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// In or out, and why.
    pub state: State,
    /// This instance's attempts on it.
    pub in_flight: u32,
    /// The most attempts this instance gives it now; zero while it is out.
    pub limit: u32,
    /// Consecutive failures that stand against it.
    pub failures: u32,
    /// Its time for each token relative to its peers; 1 is the fleet's mean.
    pub slowness: f64,
    /// Whether it is lent to this instance, whose own servers can't serve.
    pub borrowed: bool,
}

/// Why a server gets no new work, apart from its health.
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
    /// The pool.
    pub(crate) pool: usize,
    /// Its place among the pool's open servers.
    pub(crate) open: Option<usize>,
    /// Gaps between tokens at the ends of streams, too few on each for a sample.
    pub(crate) rest: Rest,
}

/// Gaps between tokens, and the time that they took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rest {
    /// How many.
    pub(crate) gaps: u32,
    /// All of them together.
    pub(crate) span: Millis,
}

impl Member {
    /// A place in `pool`, without a free slot so far.
    pub(crate) fn of(pool: usize) -> Member {
        Member {
            pool,
            open: None,
            rest: Rest::default(),
        }
    }
}

/// A server's part in the counts of its pools.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counted {
    /// Free slots.
    pub(crate) free: u32,
    /// Whether it takes work at all.
    pub(crate) usable: bool,
}

/// A load report, with what was in flight when it arrived.
#[derive(Clone, Copy, Debug)]
struct Received {
    others: f64,
    waiting: u32,
    taken: Millis,
}

/// One server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) spec: ServerSpec,
    pub(crate) local: bool,
    pub(crate) share: u32,
    /// Whether this instance isn't one of its senders, but its own servers can't serve.
    pub(crate) borrowed: bool,
    /// Whether the last report left no free slot.
    crowded: bool,
    pub(crate) health: Health,
    pub(crate) departure: Option<Departure>,
    pub(crate) in_flight: u32,
    /// Estimated tokens of the attempts in flight.
    pub(crate) tokens: u64,
    /// Logarithm of its time for each token relative to its peers.
    pub(crate) slowness: Ewma,
    pub(crate) cursor: Cursor,
    pub(crate) members: Vec<Member>,
    /// What the pools have counted.
    pub(crate) counted: Counted,
    /// The wait before a prompt is read.
    pub(crate) delay: Delay,
    /// The longest pauses of its streams, in milliseconds; none before the first.
    pub(crate) pauses: Option<Median>,
    /// Counts the starts of its process that were told of.
    pub(crate) life: u32,
    pub(crate) slow_start: SlowStart,
    report: Option<Received>,
}

impl Server {
    /// A server as configured, taken to be healthy.
    pub(crate) fn new(spec: ServerSpec, local: bool, allotment: Allotment) -> Server {
        let mut server = Server {
            spec,
            local,
            share: 0,
            borrowed: false,
            crowded: false,
            health: Health::default(),
            departure: None,
            in_flight: 0,
            tokens: 0,
            slowness: Ewma::default(),
            cursor: Cursor::default(),
            members: Vec::new(),
            counted: Counted::default(),
            delay: Delay::default(),
            pauses: None,
            life: 0,
            slow_start: SlowStart::default(),
            report: None,
        };
        server.allot(allotment);
        server
    }

    /// Forgets what was learned of the process that ran before.
    pub(crate) fn restart(&mut self) {
        self.life += 1;
        self.crowded = false;
        self.slowness = Ewma::default();
        self.cursor.restart();
        self.delay = Delay::default();
        self.pauses = None;
        self.report = None;
    }

    /// Takes over how much of it this instance may use.
    pub(crate) fn allot(&mut self, allotment: Allotment) {
        self.share = allotment.of(self.spec.concurrency, self.spec.id);
        self.borrowed = allotment == Allotment::Borrowed;
    }

    /// The most attempts in flight, by health and share.
    pub(crate) fn limit(&self) -> u32 {
        if self.departure.is_some() || self.is_spared() {
            return 0;
        }
        match self.health.phase {
            Phase::Serving => self.share,
            Phase::Recovering { limit } => limit.min(self.share),
            Phase::Out { .. } => 0,
        }
    }

    /// Whether it must be left to its own senders.
    ///
    /// The failure: in an overload of the whole fleet every instance lacks slots and borrows, and
    /// each server gets one request more from every instance, while it is full. A report that is
    /// late by a second lets one through, no more: the borrower holds one slot at most.
    fn is_spared(&self) -> bool {
        self.borrowed && self.crowded
    }

    /// Slots for new attempts.
    pub(crate) fn free(&self) -> u32 {
        self.limit().saturating_sub(self.in_flight)
    }

    /// What its pools should count.
    pub(crate) fn count(&self) -> Counted {
        Counted {
            free: self.free(),
            usable: self.limit() > 0,
        }
    }

    /// Keeps the part of a report that others account for.
    ///
    /// The report lags, and what this instance has sent or finished since is known exactly, so only
    /// the rest is kept: the report less the attempts in flight when it arrived.
    pub(crate) fn take_report(&mut self, report: LoadReport, now: Millis) -> f64 {
        let total = self.take_occupancy(report);
        let others = f64::from(total.saturating_sub(self.in_flight));
        let taken = Millis(now.0.saturating_sub(report.age.0));
        self.report = Some(Received {
            others,
            waiting: report.waiting,
            taken,
        });
        others
    }

    /// True if requests wait inside it, as its last report says, unless that is older than `ttl`.
    pub(crate) fn queues(&self, ttl: Millis, now: Millis) -> bool {
        let fresh = |report: &Received| now.since(report.taken) < ttl;
        self.report
            .filter(fresh)
            .is_some_and(|report| report.waiting > 0)
    }

    /// Requests that wait inside it, as its last report says; fades with the report's age.
    pub(crate) fn queued(&self, ttl: Millis, now: Millis) -> f64 {
        self.report.map_or(0.0, |report| {
            let age = now.since(report.taken).0 as f64;
            let weight = (1.0 - age / ttl.0.max(1) as f64).max(0.0);
            weight * f64::from(report.waiting)
        })
    }

    /// Keeps whether the server is full; returns how many requests it has.
    pub(crate) fn take_occupancy(&mut self, report: LoadReport) -> u32 {
        let total = report.running.saturating_add(report.waiting);
        self.crowded = total >= self.spec.concurrency;
        total
    }

    /// Requests of other instances, as far as the last report still tells; `usual` is the mean over
    /// the fleet, to which the estimate decays as the report ages.
    pub(crate) fn others(&self, usual: f64, ttl: Millis, now: Millis) -> f64 {
        let Some(report) = self.report else {
            return usual;
        };
        let age = now.since(report.taken).0 as f64;
        let weight = (1.0 - age / ttl.0.max(1) as f64).max(0.0);
        weight * report.others + (1.0 - weight) * usual
    }

    /// How it stands.
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
            failures: self.health.strikes(),
            slowness: self.slowness.mean().exp(),
            borrowed: self.borrowed,
        }
    }
}
