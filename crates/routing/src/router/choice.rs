//! The choice of a server.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use rand::RngExt;

use super::ALL;
use super::kept::Reading;
use crate::delay::Sent;
use crate::router::Demand;
use crate::router::NoServer;
use crate::router::Pick;
use crate::router::Placement;
use crate::router::Reason;
use crate::router::Router;
use crate::router::types::InFlight;
use crate::server::Server;

/// Points of the ring that are looked at for a prefix's home.
const RING_STEPS: usize = 12;

/// The slowness that the cost follows at most; beyond, ejection is the remedy.
const MAX_SLOWNESS: f64 = 8.0;

/// How much dearer each strike makes a server, in multiples of its cost.
///
/// A server that fails at once has nothing in flight, so it would look like the best choice and draw
/// all traffic until it is ejected.
const STRIKE_COST: f64 = 4.0;

/// How many times dearer a server on trial is for a request that should not be the one to try it.
const TRIAL_COST: f64 = 8.0;

/// Weight of one request in the mean time that a prompt takes to be read.
const READING_ALPHA: f64 = 0.05;

/// The shortest wait that a refusal for a long queue names.
pub(super) const LEAST_RETURN: Millis = Millis(200);

/// The longest wait that a refusal names.
pub(super) const MAX_WAIT: Millis = Millis::from_secs(30);

/// A server and its cost for a demand: requests ahead for each slot, weighted.
#[derive(Clone, Copy)]
pub(super) struct Scored {
    pub(super) server: ServerKey,
    pub(super) cost: f64,
    /// The expected wait before it is read, in milliseconds; zero where it isn't estimated.
    pub(super) wait: f64,
}

impl Router {
    /// Chooses a server with a free slot and takes the slot.
    ///
    /// # Errors
    ///
    /// Says why no server can take the request, and when to come back.
    pub fn pick(&mut self, demand: &Demand<'_>, now: Millis) -> Result<Pick, NoServer> {
        self.tick(now);
        self.check_fresh(now)?;
        let Some(pool) = self.pool_of(demand.model) else {
            return Err(self.refusal(Reason::NoModel, now));
        };
        if demand.unique_tokens > 0 {
            let kept = self.kept(pool, demand, now);
            let Some(best) = self.soonest(pool, demand, &kept, now) else {
                return Err(self.none_found(pool, demand, now));
            };
            self.note_load(demand, best.wait);
            check_wait(&best, demand)?;
            let reading = self.reading_at(&best, demand, &kept);
            return Ok(self.start(best.server, pool, demand, &reading, now));
        }
        let Some(best) = self.sample(pool, demand, now) else {
            return Err(self.none_found(pool, demand, now));
        };
        let home = self.home(pool, demand);
        let home = home.filter(|&home| self.is_eligible(home, demand, now));
        let near = home.filter(|&home| self.is_near(home, best.server, demand, now));
        let server = near.unwrap_or(best.server);
        Ok(self.start(server, pool, demand, &Reading::default(), now))
    }

    /// Takes a slot of the server that another instance chose; `None` where this router knows better: the
    /// server is gone, leaving, out or full, or was tried.
    pub fn adopt(&mut self, placed: &Placement, demand: &Demand<'_>, now: Millis) -> Option<Pick> {
        self.tick(now);
        let Placement { server, source, .. } = *placed;
        if demand.exclude.contains(&server) || !self.is_allowed(server, demand) {
            return None;
        }
        let takes = |pool: &usize| self.takes(server, *pool);
        let wanted = self.pool_of(demand.model).filter(takes);
        let pool = wanted.or_else(|| Some(ALL).filter(takes))?;
        let reading = Reading {
            read: f64::from(placed.prefill_tokens),
            source: source.filter(|&source| self.is_allowed(source, demand)),
            wait: placed.wait.0 as f64,
            told: true,
        };
        Some(self.start(server, pool, demand, &reading, now))
    }

    /// The cheapest of a few servers drawn at random from those with a free slot.
    fn sample(&mut self, pool: usize, demand: &Demand<'_>, now: Millis) -> Option<Scored> {
        let open = self.pools[pool].open.len();
        if open == 0 {
            return None;
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
        best.or_else(|| self.first_that_takes(pool, last, demand, now))
    }

    /// The first server from `start` on that may be sent the request.
    fn first_that_takes(
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

    /// Requests ahead of this one for each of the server's slots, times its slowness.
    ///
    /// Own requests are counted by their outstanding tokens, in mean requests. Others' come from
    /// the last report, which counts with `gain` and decays to the fleet's mean as it ages.
    fn cost(&self, server: &Server, demand: &Demand<'_>, gain: f64, now: Millis) -> f64 {
        let usual = self.others.mean();
        let known = server.others(usual, self.settings.report_ttl, now);
        let others = usual + gain * (known - usual);
        let own = server.tokens as f64 / self.volume.mean().max(1.0);
        let distance = if server.local {
            0.0
        } else {
            self.settings.zone_cost
        };
        let ahead = 1.0 + own + others + distance;
        ahead * self.doubt(server, demand) / f64::from(server.spec.concurrency.max(1))
    }

    /// How many times dearer a server's slowness and failures make it.
    pub(super) fn doubt(&self, server: &Server, demand: &Demand<'_>) -> f64 {
        let slowness = server.slowness.mean().exp().clamp(1.0, MAX_SLOWNESS);
        let strikes = 1.0 + STRIKE_COST * f64::from(server.health.strikes());
        let trial = server.health.on_trial() && (demand.priority == 0 || !demand.idempotent);
        let caution = if trial { TRIAL_COST } else { 1.0 };
        slowness * strikes * caution
    }

    /// True if the prefix's home costs little more than the sampled server.
    ///
    /// Here load reports count in full. All instances send a prefix to the same home, so the load
    /// that the others put on it isn't the usual one, and this instance's own requests don't show
    /// it; without the reports, a popular prefix overloads its home.
    fn is_near(&self, home: ServerKey, best: ServerKey, demand: &Demand<'_>, now: Millis) -> bool {
        let cost = |key| self.cost(&self.servers[key], demand, 1.0, now);
        cost(home) <= cost(best) * self.settings.affinity_bound
    }

    /// The server that holds the demand's prefix, by a cache event or else by the ring.
    fn home(&self, pool: usize, demand: &Demand<'_>) -> Option<ServerKey> {
        let prefix = demand.prefix?;
        let mut holders = self.valid_hints(prefix).map(|hint| hint.server);
        let hinted = holders.find(|&holder| self.takes(holder, pool));
        let ring = &self.pools[pool].ring;
        let placed = || {
            let mut near = ring.walk(prefix).take(RING_STEPS);
            near.find(|&server| self.takes(server, pool))
        };
        let server = hinted.or_else(placed)?;
        (!demand.exclude.contains(&server)).then_some(server)
    }

    pub(super) fn takes(&self, server: ServerKey, pool: usize) -> bool {
        self.servers
            .get(server)
            .is_some_and(|server| takes_from(server, pool))
    }

    fn start(
        &mut self,
        server: ServerKey,
        pool: usize,
        demand: &Demand<'_>,
        reading: &Reading,
        now: Millis,
    ) -> Pick {
        let tokens = match demand.tokens {
            0 => self.volume.mean().max(1.0) as u32,
            known => known,
        };
        self.volume.add(f64::from(tokens), 0.01);
        let &Reading {
            read,
            source,
            wait,
            told,
        } = reading;
        let attempt = self.attempts.insert(InFlight {
            server,
            life: self.servers[server].life,
            pool,
            tokens,
            read,
            sure: read <= f64::from(demand.unique_tokens) && source.is_none(),
            ahead: wait * self.speed.tokens(),
            prefix: demand.prefix,
            picked: now,
            waits: now,
            first: None,
            sampled: 0,
            sampled_at: now,
        });
        let chosen = &mut self.servers[server];
        chosen.in_flight += 1;
        chosen.tokens += u64::from(tokens);
        if read > 0.0 {
            let reading = self.speed.reading(read);
            self.reading.add(reading, READING_ALPHA);
            let sent = Sent {
                attempt,
                reading,
                ahead: wait,
                rank: demand.priority,
                told,
            };
            chosen.delay.sent(sent, now);
            self.note_kept(server, demand.prefix, now);
        }
        self.note_warming(server, now);
        self.settle(server);
        let first_byte_timeout = self.pools[pool].first_byte_timeout(&self.settings);
        Pick {
            server,
            attempt,
            first_byte_timeout,
            source,
            wait: Millis(wait as u64),
            prefill_tokens: read as u32,
        }
    }

    fn none_found(&self, pool: usize, demand: &Demand<'_>, now: Millis) -> NoServer {
        self.cold_refusal(pool, demand, now).unwrap_or_else(|| {
            let reason = match self.why_none(pool, demand.exclude) {
                Reason::Busy | Reason::Tried if !self.has_region(pool, demand) => Reason::Region,
                reason => reason,
            };
            self.refusal(reason, now)
        })
    }

    pub(super) fn why_none(&self, pool: usize, exclude: &[ServerKey]) -> Reason {
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
            server.counted.usable && server.members.iter().any(|m| m.pool == pool)
        })
    }

    fn refusal(&self, reason: Reason, now: Millis) -> NoServer {
        let wait = match reason {
            Reason::Busy => {
                let ends = self.lasting.mean() / self.attempts.len().max(1) as f64;
                Millis(ends.ceil() as u64)
            }
            Reason::Out => self
                .timers
                .peek()
                .map_or(MAX_WAIT, |timer| timer.0.0.since(now)),
            Reason::NoModel => MAX_WAIT,
            // Told where it is found, from the wait itself.
            Reason::Late { .. } => self.settings.wake_grace,
            Reason::Region => MAX_WAIT,
            Reason::Cold | Reason::Tried | Reason::Stale => self.settings.wake_grace,
        };
        NoServer {
            reason,
            retry_after: wait.max(Millis(1)).min(MAX_WAIT),
        }
    }
}

/// Refuses a request that would wait longer than its limit at the best server.
///
/// The load it answers: more work than the engines do, for longer than the target. A queue that takes
/// all of it grows until every answer is late. Bounded by the target, the queue keeps the engines just
/// as busy, and what they do is on time; the rest is told at once and can come back.
fn check_wait(best: &Scored, demand: &Demand<'_>) -> Result<(), NoServer> {
    let Some(limit) = demand.max_wait else {
        return Ok(());
    };
    let limit = limit.0 as f64;
    if best.wait <= limit {
        return Ok(());
    }
    // Back when the queue is half as long as it may be: at the limit itself it would be refused again.
    let span = Millis((best.wait - limit / 2.0) as u64);
    Err(NoServer {
        reason: Reason::Late {
            wait: Millis(best.wait as u64),
        },
        retry_after: span.max(LEAST_RETURN).min(MAX_WAIT),
    })
}

pub(super) fn cheaper(best: Option<Scored>, next: Option<Scored>) -> Option<Scored> {
    match (best, next) {
        (Some(best), Some(next)) if next.cost < best.cost => Some(next),
        (None, next) => next,
        (best, _) => best,
    }
}

fn takes_from(server: &Server, pool: usize) -> bool {
    server.counted.free > 0 && server.members.iter().any(|m| m.pool == pool)
}
