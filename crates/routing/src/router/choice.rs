//! Choice of a server.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use rand::RngExt;

use super::ALL;
use super::prefix::PrefillPlan;
use crate::queue_delay::QueuedPrompt;
use crate::router::Demand;
use crate::router::NoServer;
use crate::router::Pick;
use crate::router::Placement;
use crate::router::Reason;
use crate::router::Router;
use crate::router::types::InFlight;
use crate::server::Server;

/// Number of ring points searched for a prefix's home.
const RING_STEPS: usize = 12;

/// Maximum slowness that the cost takes into account. Slower servers are handled by ejection.
const MAX_SLOWNESS: f64 = 8.0;

/// Time in which the slowness of a server that gets no requests is forgotten.
///
/// The slowest ones of a few idle servers never win against the others that are drawn with them, so they would get
/// no request by which they could show that they aren't slow any more.
const SLOWNESS_TTL: Millis = Millis::from_secs(10);

/// How much each failure adds to a server's cost, as a multiple of its cost.
///
/// A server that fails immediately has nothing in flight, so without this it would look like the
/// best choice and attract all traffic until it is ejected.
const FAILURE_COST: f64 = 4.0;

/// Cost factor of a server on trial for a request that shouldn't be used to test it.
const TRIAL_COST: f64 = 8.0;

/// Maximum number of servers of unlike speed that are all compared by a router that chooses for all
/// instances.
const MAX_COMPARED: usize = 16;

/// Cost of a request that runs on a server with a free slot, relative to one that waits. It spreads
/// the requests while none waits, so that fewer of them share a machine when it slows down.
const SPREAD_COST: f64 = 0.25;

/// Weight of the requests that wait before this one, where servers differ in speed. Those that come
/// after it wait for it as well, so that with a weight of 1 all fast servers get queues before a slow
/// one gets its first request.
const WAITING_WEIGHT: f64 = 4.0;

/// Weight of one request in the mean prefill time.
const PREFILL_TIME_ALPHA: f64 = 0.05;

/// Minimum retry time in a refusal because of a long queue.
pub(super) const MIN_RETRY_AFTER: Millis = Millis(200);

/// Retry time while no server has the required software version: the time in which a server that has
/// crashed starts again.
const SOFTWARE_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Maximum retry time in a refusal.
pub(super) const MAX_RETRY_AFTER: Millis = Millis::from_secs(30);

/// A server and its cost for a demand: requests ahead per slot, weighted.
#[derive(Clone, Copy)]
pub(super) struct Scored {
    pub(super) server: ServerKey,
    pub(super) cost: f64,
    /// The expected wait before its prefill, in milliseconds; zero if it isn't estimated.
    pub(super) wait: f64,
}

impl Router {
    /// Chooses a server with a free slot and takes the slot.
    ///
    /// # Errors
    ///
    /// Returns why no server can take the request and when to retry.
    pub fn pick(&mut self, demand: &Demand<'_>, now: Millis) -> Result<Pick, NoServer> {
        self.tick(now);
        self.check_lease(now)?;
        let Some(pool) = self.pool_of(demand.model) else {
            return Err(self.refusal(Reason::NoModel, now));
        };
        if demand.unique_tokens > 0 {
            let locations = self.locate_prefix(pool, demand, now);
            let Some(best) = self.earliest_first_token(pool, demand, &locations, now) else {
                return Err(self.no_server_error(pool, demand, now));
            };
            if demand.line_wait.is_none() {
                self.record_wait(demand, best.wait);
            }
            check_wait(&best, demand)?;
            if let Some(waited) = demand.line_wait {
                self.record_wait(demand, best.wait + waited.0 as f64);
            }
            let plan = self.plan_prefill(&best, demand, &locations);
            return Ok(self.start_attempt(best.server, pool, demand, &plan, now));
        }
        let Some(best) = self.sample(pool, demand, now) else {
            return Err(self.no_server_error(pool, demand, now));
        };
        let home = self.prefix_home(pool, demand);
        let home = home.filter(|&home| self.is_eligible(home, demand, now));
        let near =
            home.filter(|&home| self.is_within_affinity_bound(home, best.server, demand, now));
        let server = near.unwrap_or(best.server);
        Ok(self.start_attempt(server, pool, demand, &PrefillPlan::default(), now))
    }

    /// Takes a slot of the server that another instance chose. Returns `None` if this router knows
    /// that it is unsuitable: the server is unknown, leaving, resting, ejected or full, or
    /// was tried already.
    pub fn adopt(
        &mut self,
        placement: &Placement,
        demand: &Demand<'_>,
        now: Millis,
    ) -> Option<Pick> {
        self.tick(now);
        let Placement { server, source, .. } = *placement;
        if !self.is_open_to(server, demand) {
            return None;
        }
        let accepts = |pool: &usize| self.accepts(server, *pool);
        let wanted = self.pool_of(demand.model).filter(accepts);
        let pool = wanted.or_else(|| Some(ALL).filter(accepts))?;
        let plan = PrefillPlan {
            prefill_tokens: f64::from(placement.prefill_tokens),
            source: source.filter(|&source| self.is_usable_source(source, demand)),
            wait: placement.wait.0 as f64,
            remote: true,
        };
        Some(self.start_attempt(server, pool, demand, &plan, now))
    }

    /// Returns the cheapest of a few servers drawn at random from those with a free slot.
    fn sample(&mut self, pool: usize, demand: &Demand<'_>, now: Millis) -> Option<Scored> {
        let open = self.pools[pool].open.len();
        if open == 0 {
            return None;
        }
        if demand.central && self.is_uneven && open <= MAX_COMPARED {
            let start = self.rng.random_range(0..open);
            let scored = (0..open).map(|at| self.scored(pool, (start + at) % open, demand, now));
            return scored.fold(None, cheaper);
        }
        let mut best: Option<Scored> = None;
        let mut last = open;
        for _ in 0..self.settings.choices.max(1) {
            let mut at = self.rng.random_range(0..open);
            if at == last {
                at = (at + 1) % open;
            }
            last = at;
            best = cheaper(best, self.scored(pool, at, demand, now));
        }
        best.or_else(|| self.first_eligible(pool, last, demand, now))
    }

    /// Returns the first server, starting at index `start`, that is eligible for the request.
    fn first_eligible(
        &self,
        pool: usize,
        start: usize,
        demand: &Demand<'_>,
        now: Millis,
    ) -> Option<Scored> {
        let open = self.pools[pool].open.len();
        (0..open).find_map(|step| self.scored(pool, (start + step) % open, demand, now))
    }

    fn scored(&self, pool: usize, at: usize, demand: &Demand<'_>, now: Millis) -> Option<Scored> {
        let server = self.pools[pool].open[at].server;
        self.score(server, demand, now)
    }

    fn score(&self, server: ServerKey, demand: &Demand<'_>, now: Millis) -> Option<Scored> {
        if !self.is_eligible(server, demand, now) {
            return None;
        }
        let gain = self.settings.report_gain;
        let cost = self.cost(&self.servers[server], demand, gain, now);
        let wait = 0.0;
        Some(Scored { server, cost, wait })
    }

    /// The requests ahead of this one per slot of the server, multiplied by its slowness as a rule
    /// and at this moment; where servers differ in speed, those that must end before it runs.
    ///
    /// On a server with a free slot a request takes as long as its work takes there, however many
    /// others run.
    ///
    /// This instance's own requests are counted by their outstanding tokens, in mean requests. The
    /// requests of others come from the last report, which is weighted with `gain` and decays to
    /// the mean of the fleet as it ages.
    fn cost(&self, server: &Server, demand: &Demand<'_>, gain: f64, now: Millis) -> f64 {
        let fleet_mean = self.remote_load.mean();
        let known = server.remote_requests(fleet_mean, self.settings.report_ttl, now);
        let others = fleet_mean + gain * (known - fleet_mean);
        let own = server.tokens as f64 / self.request_tokens.mean().max(1.0);
        let distance = if server.same_zone {
            0.0
        } else {
            self.settings.zone_cost
        };
        let ahead = own + others;
        let age = now.since(server.slowness_sampled);
        let current = 1.0 - (age.as_secs_f64() / SLOWNESS_TTL.as_secs_f64()).min(1.0);
        let pace = server.speed.reported_pace_over(0.0, now);
        let factor =
            self.health_factor_with(server, demand, server.slowness.mean() * current, pace);
        let concurrency = f64::from(server.spec.concurrency.max(1));
        if !self.is_uneven {
            return (1.0 + ahead + distance) * factor / concurrency;
        }
        // The time until the answer, in the work of a request.
        let slots = (concurrency / f64::from(self.settings.overcommit.max(1))).max(1.0);
        let waiting = (1.0 + ahead - slots).max(0.0);
        (slots + WAITING_WEIGHT * waiting + SPREAD_COST * (ahead + distance)) * factor / slots
    }

    /// Returns the cost factor for a server's failures, and its slowness beyond its usual speed,
    /// which the expected time contains.
    pub(super) fn health_factor(&self, server: &Server, demand: &Demand<'_>) -> f64 {
        let expected = server.speed.unreported_slowness();
        self.health_factor_with(server, demand, server.slowness.mean() - expected, 1.0)
    }

    /// Like [`Router::health_factor`], with the logarithm of the slowness and the reported pace.
    fn health_factor_with(
        &self,
        server: &Server,
        demand: &Demand<'_>,
        slowness: f64,
        pace: f64,
    ) -> f64 {
        // A server may be faster than the others by its reports, but not by a few quick answers.
        let slowness = (slowness.exp() * pace).clamp(pace.min(1.0), MAX_SLOWNESS);
        let failures = 1.0 + FAILURE_COST * f64::from(server.health.avoided_failures());
        let trial = server.health.is_doubted() && (demand.priority == 0 || !demand.idempotent);
        let caution = if trial { TRIAL_COST } else { 1.0 };
        slowness * failures * caution
    }

    /// Returns true if the prefix's home costs little more than the sampled server.
    ///
    /// Here load reports are fully weighted. All instances send a prefix to the same home, so other
    /// instances put an unusual load on it that this instance's own requests don't show. Without
    /// the reports, a popular prefix overloads its home.
    fn is_within_affinity_bound(
        &self,
        home: ServerKey,
        best: ServerKey,
        demand: &Demand<'_>,
        now: Millis,
    ) -> bool {
        let cost = |key| self.cost(&self.servers[key], demand, 1.0, now);
        cost(home) <= cost(best) * self.settings.affinity_bound
    }

    /// Returns the server that holds the demand's prefix, by a cache hint or else by the ring.
    fn prefix_home(&self, pool: usize, demand: &Demand<'_>) -> Option<ServerKey> {
        let prefix = demand.prefix?;
        let mut holders = self.valid_hints(prefix).map(|hint| hint.server);
        let hinted = holders.find(|&holder| self.accepts(holder, pool));
        let ring = &self.pools[pool].ring;
        let from_ring = || {
            let mut near = ring.walk(prefix).take(RING_STEPS);
            near.find(|&server| self.accepts(server, pool))
        };
        hinted.or_else(from_ring)
    }

    pub(super) fn accepts(&self, server: ServerKey, pool: usize) -> bool {
        self.servers
            .get(server)
            .is_some_and(|server| has_free_slot(server, pool))
    }

    fn start_attempt(
        &mut self,
        server: ServerKey,
        pool: usize,
        demand: &Demand<'_>,
        plan: &PrefillPlan,
        now: Millis,
    ) -> Pick {
        let tokens = match demand.tokens {
            0 => self.request_tokens.mean().max(1.0) as u32,
            known => known,
        };
        self.request_tokens.add(f64::from(tokens), 0.01);
        let &PrefillPlan {
            prefill_tokens,
            source,
            wait,
            remote,
        } = plan;
        let live = self.add_live_stream(server, demand, prefill_tokens, now);
        let speed = self.servers[server].speed;
        let prefill_ms = speed.prefill_ms(prefill_tokens, &self.prefill_rate);
        let pace = speed.momentary_pace_over(wait + prefill_ms, now);
        let work_ahead = wait / (pace * speed.prefill_factor());
        let attempt = self.attempts.insert(InFlight {
            server,
            generation: self.servers[server].generation,
            pool,
            tokens,
            prefill_tokens,
            is_exact: prefill_tokens <= f64::from(demand.unique_tokens) && source.is_none(),
            sees_queue: demand.central || remote,
            tokens_ahead: work_ahead * self.prefill_rate.tokens_per_ms(),
            prefix: demand.prefix,
            live,
            picked_at: now,
            waiting_since: now,
            first_byte_at: None,
            sampled_tokens: 0,
            sampled_at: now,
        });
        let chosen = &mut self.servers[server];
        chosen.in_flight += 1;
        chosen.tokens += u64::from(tokens);
        if prefill_tokens > 0.0 {
            let usual_ms = self.prefill_rate.prefill_ms(prefill_tokens);
            self.prefill_time.add(usual_ms, PREFILL_TIME_ALPHA);
            let sent = QueuedPrompt {
                attempt,
                prefill_ms,
                expected_wait: wait + prefill_ms * (pace - 1.0),
                latency: self.latency.latency_ms() * speed.step_factor() * pace,
                priority: demand.priority,
                remote,
            };
            chosen.queue_delay.on_sent(sent, now);
            self.record_prefix(server, demand.prefix, now);
        }
        self.record_paced_request(server, now);
        self.update_slots(server);
        let first_byte_timeout = self.pools[pool].first_byte_timeout(&self.settings);
        Pick {
            server,
            attempt,
            first_byte_timeout,
            source,
            wait: Millis(wait as u64),
            prefill_tokens: prefill_tokens as u32,
        }
    }

    fn no_server_error(&self, pool: usize, demand: &Demand<'_>, now: Millis) -> NoServer {
        let paced = self.paced_refusal(pool, demand, now);
        let refusal = paced.or_else(|| self.rest_refusal(pool, demand, now));
        refusal.unwrap_or_else(|| {
            let reason = self.pool_unavailable_reason(pool, demand.exclude);
            let reason = match reason {
                Reason::Busy | Reason::Tried => self.exclusion(pool, demand).unwrap_or(reason),
                reason => reason,
            };
            self.refusal(reason, now)
        })
    }

    pub(super) fn pool_unavailable_reason(&self, pool: usize, exclude: &[ServerKey]) -> Reason {
        let tried = exclude.iter();
        let tried = tried.filter(|&&server| self.is_usable(server, pool));
        match (self.pools[pool].usable, tried.count()) {
            (0, _) => Reason::Out,
            (usable, tried) if tried >= usable => Reason::Tried,
            _ => Reason::Busy,
        }
    }

    pub(super) fn is_usable(&self, server: ServerKey, pool: usize) -> bool {
        let server = self.servers.get(server);
        server.is_some_and(|server| {
            server.pool_counts.usable && server.members.iter().any(|m| m.pool == pool)
        })
    }

    fn refusal(&self, reason: Reason, now: Millis) -> NoServer {
        let wait = match reason {
            Reason::Busy => {
                let ends = self.request_duration.mean() / self.attempts.len().max(1) as f64;
                Millis(ends.ceil() as u64)
            }
            Reason::Out => self
                .timers
                .peek()
                .map_or(MAX_RETRY_AFTER, |timer| timer.0.0.since(now)),
            Reason::NoModel => MAX_RETRY_AFTER,
            // `check_wait` sets the actual time from the wait.
            Reason::Late { .. } => self.settings.wake_grace,
            Reason::Region => MAX_RETRY_AFTER,
            Reason::Software => SOFTWARE_RETRY_AFTER,
            Reason::Cold | Reason::Limited | Reason::Resting | Reason::Tried | Reason::Stale => {
                self.settings.wake_grace
            }
        };
        NoServer {
            reason,
            retry_after: wait.max(Millis(1)).min(MAX_RETRY_AFTER),
        }
    }
}

/// Refuses a request that would wait longer than its limit at the best server.
///
/// When more work arrives than the engines can do for longer than the target latency, a queue that
/// accepts all of it grows until every answer is late. A queue bounded by the target keeps the
/// engines just as busy and their answers in time; the other requests are refused at once and can
/// be retried.
fn check_wait(best: &Scored, demand: &Demand<'_>) -> Result<(), NoServer> {
    let Some(limit) = demand.max_wait else {
        return Ok(());
    };
    let limit = limit.0 as f64;
    if best.wait <= limit {
        return Ok(());
    }
    // Retry when the queue has shrunk to half of its limit. At the limit itself the request would
    // be refused again.
    let span = Millis((best.wait - limit / 2.0) as u64);
    Err(NoServer {
        reason: Reason::Late {
            wait: Millis(best.wait as u64),
        },
        retry_after: span.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER),
    })
}

pub(super) fn cheaper(best: Option<Scored>, next: Option<Scored>) -> Option<Scored> {
    match (best, next) {
        (Some(best), Some(next)) if next.cost < best.cost => Some(next),
        (None, next) => next,
        (best, _) => best,
    }
}

fn has_free_slot(server: &Server, pool: usize) -> bool {
    server.pool_counts.free > 0 && server.members.iter().any(|m| m.pool == pool)
}
