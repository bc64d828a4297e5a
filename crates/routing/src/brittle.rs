//! Servers that fall over when they have to turn away too many requests.
//!
//! While a service is brittle its servers may let fewer requests wait than at other times, and
//! nobody knows how few. What a server surely has room for are its slots, unless its memory is full
//! before. So it gets no more requests than slots from all instances together, and none while it
//! reports that some wait. A rejection shows how many requests it has room for; every few seconds
//! without another one, it is tried with one more. It gets nothing for a second once it has turned
//! away half of what it survives.

use std::collections::VecDeque;

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use crate::router::Demand;
use crate::router::Router;

/// Window in which a server counts the requests that it turns away.
const WINDOW: Millis = Millis(1000);

/// How old a load report may be to keep requests away from a server with a queue.
const REPORT_TTL: Millis = Millis(200);

/// Time without a rejection after which a server is taken to have room for one more request.
const RAISE_INTERVAL: Millis = Millis(2000);

/// Maximum time that an engine takes to read the prompts whose answers haven't begun, in
/// milliseconds. Prompts beyond that wait in its queue.
const MAX_PENDING_MS: f64 = 400.0;

/// How brittle the servers of a service are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Brittleness {
    /// Requests that a server may turn away within a second without falling over.
    pub rejections: u32,
    /// The ratio of the concurrency with which servers are configured to their slots.
    pub overcommit: u32,
    /// Number of instances, which share the slots if none of them places requests for all.
    pub instances: u32,
}

impl Brittleness {
    /// Rejections within a second after which a server gets no more requests for now. The others
    /// are left for requests that are on their way.
    fn max_rejections(&self) -> usize {
        (self.rejections / 2).max(1) as usize
    }
}

/// What the rejections of one server show.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rejections {
    /// The times of the last ones.
    times: VecDeque<Millis>,
    /// Number of requests that it had when it rejected another one; `None` if it rejected none.
    room: Option<u32>,
}

impl Rejections {
    /// More than any limit that is worth telling apart.
    const MAX_REMEMBERED: usize = 64;

    /// Records a rejection by a server that has `others` other requests.
    fn record(&mut self, others: u32, now: Millis) {
        if self.times.len() >= Rejections::MAX_REMEMBERED {
            self.times.pop_front();
        }
        self.times.push_back(now);
        self.room = Some(others.max(1));
    }

    fn within_window(&self, now: Millis) -> usize {
        let recent = self.times.iter().rev();
        recent.take_while(|at| now.since(**at) < WINDOW).count()
    }

    /// Number of requests that the server is taken to have room for at `now`; unbounded if it
    /// rejected none. Only if it `may_try` does that number grow with the time since then.
    fn room(&self, may_try: bool, now: Millis) -> u32 {
        let Some(room) = self.room else {
            return u32::MAX;
        };
        let quiet = self.times.back().map_or(Millis::ZERO, |at| now.since(*at));
        let raised = if may_try {
            quiet.0 / RAISE_INTERVAL.0
        } else {
            0
        };
        room.saturating_add(u32::try_from(raised).unwrap_or(u32::MAX))
    }
}

impl Router {
    /// Sets how brittle the servers are; `None` if they aren't.
    pub fn set_brittle(&mut self, brittle: Option<Brittleness>) {
        self.brittle = brittle;
    }

    /// Records that a server turned a request away for lack of room, before the end of the attempt is
    /// recorded.
    pub fn record_rejection(&mut self, server: ServerKey, now: Millis) {
        if let Some(server) = self.servers.get_mut(server) {
            // The rejected request is still counted.
            let others = server.in_flight.saturating_sub(1);
            server.rejections.record(others, now);
        }
    }

    /// Whether the server surely has room for the request, if it is brittle.
    pub(crate) fn has_room(&self, server: ServerKey, demand: &Demand<'_>, now: Millis) -> bool {
        let Some(brittle) = &self.brittle else {
            return true;
        };
        let Some(server) = self.servers.get(server) else {
            return false;
        };
        let slots = server.spec.concurrency / brittle.overcommit.max(1);
        let chooses_for_all = demand.central || demand.allow_paced;
        let slots = if chooses_for_all {
            slots
        } else {
            slots / brittle.instances.max(1)
        };
        let may_try = brittle.rejections > 0;
        let room = server.rejections.room(may_try, now).min(slots.max(1));
        server.in_flight < room
            && server.queue_delay.pending() <= MAX_PENDING_MS
            && !server.has_queue(REPORT_TTL, now)
            && server.rejections.within_window(now) < brittle.max_rejections()
    }
}
