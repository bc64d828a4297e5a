//! Choice among engines by the expected time to first token.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use rand::RngExt;

use super::choice::Scored;
use super::choice::cheaper;
use super::prefix::PrefixLocations;
use crate::live_streams::PAUSE_TOLERANCE;
use crate::router::Demand;
use crate::router::Router;
use crate::server::Server;

/// Number of servers drawn at random from a lane.
const SAMPLE_SIZE: usize = 8;

/// Cost of a request running on an engine, in milliseconds. It slows each step a little; its main
/// purpose is to distribute streams evenly while nothing waits.
const RUNNING_COST: f64 = 1.0;

/// Cost of another availability zone, in milliseconds: the round trip and the price of the traffic.
const ZONE_COST: f64 = 4.0;

/// Cost of a request that waits at an engine by its last report, in mean prefill times.
const WAITING_COST: f64 = 1.0;

/// Weight of a prompt's own time, relative to that of the queue before it, where servers differ in
/// speed. A prompt that joins a queue also delays those that come as long as the queue lasts, so
/// that with the same weight all wait for the fast servers as long as for the slow ones.
const OWN_WEIGHT: f64 = 0.5;

/// Number of ended streams that are required before a server's pauses are considered.
const MIN_STREAMS: u32 = 4;

/// Cost of a live stream that pauses for longer than it tolerates, in milliseconds. It exceeds any
/// possible gain in time to first token, because a stream with too long a pause is late whatever its
/// first token was.
pub(super) const PAUSE_COST: f64 = 300.0;

/// Expected time above which engines of the spill-over lane are considered too, in milliseconds.
const SPILL_THRESHOLD: f64 = 200.0;

impl Router {
    /// Returns the engine with the earliest expected first token.
    pub(super) fn earliest_first_token(
        &mut self,
        pool: usize,
        demand: &Demand<'_>,
        locations: &PrefixLocations,
        now: Millis,
    ) -> Option<Scored> {
        let best = self.earliest_in_pool(pool, demand, locations, 0.0, now);
        let Some(spill) = demand.spill else {
            return best;
        };
        if best.is_some_and(|best| best.cost < SPILL_THRESHOLD) {
            return best;
        }
        let Some(other) = self.pool_of(Some(spill.model)) else {
            return best;
        };
        let locations = self.locate_prefix(other, demand, now);
        cheaper(
            best,
            self.earliest_in_pool(other, demand, &locations, spill.cost, now),
        )
    }

    fn earliest_in_pool(
        &mut self,
        pool: usize,
        demand: &Demand<'_>,
        locations: &PrefixLocations,
        extra: f64,
        now: Millis,
    ) -> Option<Scored> {
        let mut best = None;
        for &server in locations.holders.iter().chain(&locations.homes) {
            if self.accepts(server, pool) {
                best = cheaper(
                    best,
                    self.score_first_token(server, demand, locations, extra, now),
                );
            }
        }
        let open = self.pools[pool].open.len();
        let drawn = if demand.central { open } else { SAMPLE_SIZE };
        let start = if open > 0 {
            self.rng.random_range(0..open)
        } else {
            0
        };
        let drawn = drawn + demand.exclude.len() + demand.resting.len();
        // The stride through the array yields different servers. If there are few, all are drawn.
        for step in 0..open {
            // The search continues while none of the drawn servers takes the request.
            if step >= drawn && best.is_some() {
                break;
            }
            let server = self.pools[pool].open[(start + step) % open].server;
            best = cheaper(
                best,
                self.score_first_token(server, demand, locations, extra, now),
            );
        }
        best
    }

    /// Returns the expected time to first token at `server`, in milliseconds, weighted by its
    /// health.
    fn score_first_token(
        &self,
        server: ServerKey,
        demand: &Demand<'_>,
        locations: &PrefixLocations,
        extra: f64,
        now: Millis,
    ) -> Option<Scored> {
        if !self.is_eligible(server, demand, now) {
            return None;
        }
        let state = &self.servers[server];
        let speed = &state.speed;
        let own = speed.prefill_ms(f64::from(demand.unique_tokens), &self.prefill_rate);
        let shared = self.prefix_cost(server, f64::from(demand.prefix_tokens), locations);
        let ttl = self.settings.report_ttl;
        let running =
            f64::from(state.in_flight) + state.remote_requests(self.remote_load.mean(), ttl, now);
        let queue = state.queue_length(ttl, now)
            * WAITING_COST
            * self.prefill_time.mean()
            * speed.prefill_factor();
        let pace = speed.momentary_pace_over(state.queue_delay.pending() + own, now);
        let same_zone = demand
            .zone
            .map_or(state.same_zone, |zone| zone == state.spec.zone);
        let zone_cost = if same_zone { 0.0 } else { ZONE_COST };
        // All pending prefill counts for the choice, including that of requests which this one
        // would overtake, because its own tokens are decoded between their prefill chunks.
        let mut delay_cost = 0.0;
        let (busy, wait) = if demand.central {
            let queue_delay = &state.queue_delay;
            let capacity_wait = self.wait_for_capacity(state, demand) * speed.step_factor();
            let all = queue_delay.central_estimate(pace, now);
            let ahead = queue_delay.wait_at_priority(demand.priority, pace, now);
            // The ranks of what other instances sent aren't known.
            let unranked = queue_delay.remote_pending() * pace;
            let busy = self.relevant_prefill(demand, all, ahead + unranked);
            if self.pause_model.is_some() {
                let shared = self.expected_shared_prefill(server, demand, locations);
                delay_cost = self.live_delay_cost(state, demand, all, (own + shared) * pace);
            }
            (busy + capacity_wait, ahead + capacity_wait)
        } else {
            let busy = state.queue_delay.estimate(pace, now).max(queue * pace);
            (busy, busy)
        };
        let pause_cost = pause_cost(state, demand.max_pause);
        let latency = self.latency.latency_ms() * (speed.step_factor() * pace - 1.0);
        let own_weight = if self.is_uneven { OWN_WEIGHT } else { 1.0 };
        let expected = pause_cost
            + delay_cost
            + busy
            + (own * pace + latency) * own_weight
            + shared
            + running * speed.step_factor() * RUNNING_COST
            + zone_cost;
        let cost = (expected + 1.0) * self.health_factor(state, demand) + extra;
        Some(Scored { server, cost, wait })
    }

    /// Returns the prefill rate of the engines in tokens per millisecond, as learned from answers.
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_rate.tokens_per_ms()
    }

    /// Returns the prefill time of this instance's unanswered requests at each server that has any,
    /// in milliseconds.
    pub fn pending_prefill(&self) -> impl Iterator<Item = (ServerKey, f64)> {
        let pending = self
            .servers
            .iter()
            .map(|(key, server)| (key, server.queue_delay.pending()));
        pending.filter(|(_, prefill_ms)| *prefill_ms > 0.0)
    }

    /// Sets the prefill time of other instances' pending requests at a server, in milliseconds,
    /// until the next call.
    pub fn set_remote_pending(&mut self, server: ServerKey, prefill_ms: f64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.queue_delay.set_remote_pending(prefill_ms);
        }
    }
}

/// Returns the cost of the server's usual pauses for a stream that tolerates `max_pause`, in
/// milliseconds.
///
/// This matters for live streams that run along with prompts on engines of two kinds, of which one is
/// too slow for them.
fn pause_cost(server: &Server, max_pause: Option<Millis>) -> f64 {
    let known = server
        .median_pause
        .filter(|observed| observed.samples() >= MIN_STREAMS);
    let (Some(max_pause), Some(observed)) = (max_pause, known) else {
        return 0.0;
    };
    let ratio = observed.value() / max_pause.0.max(1) as f64;
    let excess = (ratio - PAUSE_TOLERANCE) / (1.0 - PAUSE_TOLERANCE);
    PAUSE_COST * excess.clamp(0.0, 1.0)
}
