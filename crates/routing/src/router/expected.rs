//! The choice among engines, by when the answer is expected to begin.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use rand::RngExt;

use super::choice::Scored;
use super::choice::cheaper;
use super::kept::Kept;
use crate::router::Demand;
use crate::router::Router;
use crate::server::Server;

/// Servers drawn at random from a lane.
const DRAWN: usize = 8;

/// What a request that an engine runs adds to the expected time, in milliseconds. It slows each step a
/// little; mainly it spreads streams evenly where nothing waits.
const RUNNING_COST: f64 = 1.0;

/// What the way to another availability zone adds, in milliseconds: there and back, and the price of
/// the bytes.
const DISTANCE: f64 = 4.0;

/// What a request that waits at an engine adds, by its last report, in mean readings.
const WAITING_COST: f64 = 1.0;

/// Streams of a server that must have ended before its pauses are gone by.
const LEAST_STREAMS: u32 = 4;

/// The part of the longest pause that a live stream bears from which on a server's pauses count. Half of its
/// streams pause for longer than the median.
const EASY_PART: f64 = 0.85;

/// What a server costs a live stream whose usual pauses are all that the stream bears, in milliseconds: more than
/// the time to the first token that could be gained, as a stream that pauses for too long is late whatever its
/// first token was.
const STRAIN_COST: f64 = 300.0;

/// From which expected time on engines of the other lane are weighed too, in milliseconds.
const SPILL: f64 = 200.0;

impl Router {
    /// The engine at which the answer is expected to begin first.
    pub(super) fn soonest(
        &mut self,
        pool: usize,
        demand: &Demand<'_>,
        kept: &Kept,
        now: Millis,
    ) -> Option<Scored> {
        let best = self.soonest_in(pool, demand, kept, 0.0, now);
        let Some(spill) = demand.spill else {
            return best;
        };
        if best.is_some_and(|best| best.cost < SPILL) {
            return best;
        }
        let Some(other) = self.pool_of(Some(spill.model)) else {
            return best;
        };
        let kept = self.kept(other, demand, now);
        cheaper(best, self.soonest_in(other, demand, &kept, spill.cost, now))
    }

    fn soonest_in(
        &mut self,
        pool: usize,
        demand: &Demand<'_>,
        kept: &Kept,
        extra: f64,
        now: Millis,
    ) -> Option<Scored> {
        let mut best = None;
        for &server in kept.holders.iter().chain(&kept.homes) {
            if self.takes(server, pool) {
                best = cheaper(best, self.expect(server, demand, kept, extra, now));
            }
        }
        let open = self.pools[pool].open.len();
        let drawn = if demand.central { open } else { DRAWN };
        let start = if open > 0 {
            self.rng.random_range(0..open)
        } else {
            0
        };
        let drawn = drawn + demand.exclude.len();
        // A stride through the array draws different servers; with few all are drawn.
        for step in 0..open {
            // It goes on where none of those that were drawn takes the request.
            if step >= drawn && best.is_some() {
                break;
            }
            let server = self.pools[pool].open[(start + step) % open].server;
            best = cheaper(best, self.expect(server, demand, kept, extra, now));
        }
        best
    }

    /// When an answer of `server` is expected to begin, in milliseconds, weighted by its health.
    fn expect(
        &self,
        server: ServerKey,
        demand: &Demand<'_>,
        kept: &Kept,
        extra: f64,
        now: Millis,
    ) -> Option<Scored> {
        if !self.is_eligible(server, demand, now) {
            return None;
        }
        let state = &self.servers[server];
        let own = self.speed.reading(f64::from(demand.unique_tokens));
        let shared = self.cost_of_shared(server, f64::from(demand.prefix_tokens), kept);
        let ttl = self.settings.report_ttl;
        let running = f64::from(state.in_flight) + state.others(self.others.mean(), ttl, now);
        let queue = state.queued(ttl, now) * WAITING_COST * self.reading.mean();
        let local = demand
            .zone
            .map_or(state.local, |zone| zone == state.spec.zone);
        let distance = if local { 0.0 } else { DISTANCE };
        // All that is read there counts for the choice, also what the request would overtake: its own tokens
        // come between the pieces of that.
        let (busy, wait) = if demand.central {
            let delay = &state.delay;
            let place = self.wait_for_room(state, demand);
            (
                delay.exact(now) + place,
                delay.ahead_of(demand.priority, now) + place,
            )
        } else {
            let busy = state.delay.estimate(now).max(queue);
            (busy, busy)
        };
        let strain = strain(state, demand.max_pause);
        let expected = strain + busy + own + shared + running * RUNNING_COST + distance;
        let cost = (expected + 1.0) * self.doubt(state, demand) + extra;
        Some(Scored { server, cost, wait })
    }

    /// How many tokens an engine reads in a millisecond, as learned from answers.
    pub fn prefill_rate(&self) -> f64 {
        self.speed.tokens()
    }

    /// How long this instance's requests that have no answer yet take to be read at each server that has
    /// any, in milliseconds.
    pub fn pending_prefill(&self) -> impl Iterator<Item = (ServerKey, f64)> {
        let pending = self
            .servers
            .iter()
            .map(|(key, server)| (key, server.delay.pending()));
        pending.filter(|(_, reading)| *reading > 0.0)
    }

    /// Takes in how much other instances have waiting at a server, in milliseconds of reading, from now
    /// on until the next call.
    pub fn set_remote_pending(&mut self, server: ServerKey, reading: f64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.delay.take_others(reading);
        }
    }
}

/// What the server's usual pauses cost a stream that bears `pause`, in milliseconds.
///
/// The load it answers: live streams beside prompts on engines of two kinds. On a third of them an event came
/// after 123 ms in the middle, on the others after 95, where 120 are borne.
fn strain(server: &Server, pause: Option<Millis>) -> f64 {
    let known = server.pauses.filter(|seen| seen.samples() >= LEAST_STREAMS);
    let (Some(pause), Some(seen)) = (pause, known) else {
        return 0.0;
    };
    let part = seen.get() / pause.0.max(1) as f64;
    let over = (part - EASY_PART) / (1.0 - EASY_PART);
    STRAIN_COST * over.clamp(0.0, 1.0)
}
