//! Rate-limited model loads from the weight store, highest class first.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use crate::orders::EngineId;
use crate::orders::ModelId;
use crate::view::Member;
use crate::view::View;

/// The credit that a permit costs. Each millisecond adds the rate per minute to the credit, so that
/// integral rates add up without rounding errors.
const PERMIT_COST: f64 = 60_000.0;

/// Settings of the load planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightSettings {
    /// Loads per minute that the store supports for all instances together.
    pub rate: f64,
    /// Loads that may start at once after an idle period.
    pub burst: f64,
    /// How long a permit is valid on the holder's clock.
    pub permit_ttl: Millis,
    /// How long a new owner grants no permits. Longer than `permit_ttl` and the lease of a view
    /// together.
    pub takeover_delay: Millis,
    /// Every n-th permit goes to the load that has waited longest, so that no class starves.
    pub oldest_first_interval: u32,
    /// How long a request stays pending without being repeated.
    pub request_ttl: Millis,
}

impl Default for WeightSettings {
    fn default() -> WeightSettings {
        WeightSettings {
            rate: 12.0,
            burst: 1.0,
            permit_ttl: Millis::from_secs(5),
            takeover_delay: Millis::from_secs(25),
            oldest_first_interval: 8,
            request_ttl: Millis::from_secs(30),
        }
    }
}

/// A request to load a model on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadRequest {
    /// The engine.
    pub engine: EngineId,
    /// The model.
    pub model: ModelId,
    /// The rank of the highest class that waits for the model; lower ranks are served first.
    pub rank: u8,
    /// The number of engines that serve the model now; within a rank, the model with the fewest is
    /// loaded first.
    pub replicas: u32,
}

/// Permission to start one load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadPermit {
    /// The requester: the owner of the engine.
    pub to: Member,
    /// The engine.
    pub engine: EngineId,
    /// The model.
    pub model: ModelId,
}

#[derive(Clone, Copy, Debug)]
struct PendingLoad {
    from: Member,
    request: LoadRequest,
    first_requested_at: Millis,
    last_requested_at: Millis,
}

/// Grants permits for loads on the instance that owns the weight store.
///
/// The owner is the member of the highest rendezvous weight for the store's name. In a partition,
/// each side has an owner, which grants a share of the rate: the ratio of its live members to the
/// reference membership.
#[derive(Debug)]
pub struct LoadPlanner {
    settings: WeightSettings,
    me: Member,
    store: u64,
    owned_since: Option<Millis>,
    share: f64,
    credit: f64,
    filled_at: Millis,
    pending: BTreeMap<(EngineId, ModelId), PendingLoad>,
    granted: BTreeMap<ModelId, u32>,
    /// Permits since the last one that went to the load that had waited longest.
    since_oldest_first: u32,
}

impl LoadPlanner {
    /// A planner for `store`; it isn't the owner until a view says so.
    pub fn new(settings: WeightSettings, me: Member, store: u64) -> LoadPlanner {
        LoadPlanner {
            settings,
            me,
            store,
            owned_since: None,
            share: 0.0,
            credit: 0.0,
            filled_at: Millis::ZERO,
            pending: BTreeMap::new(),
            granted: BTreeMap::new(),
            since_oldest_first: 0,
        }
    }

    /// The member to send load requests to.
    pub fn owner(&self, live: &View) -> Option<Member> {
        live.owner(self.store)
    }

    /// Sets the live view and the reference membership. A new owner waits until the permits of the
    /// former owner have expired and starts without credit, so that the rate limit holds while the
    /// ownership moves.
    pub fn on_view(&mut self, live: &View, reference: &View, now: Millis) {
        self.refill(now);
        let count = live.members().len() as f64;
        let all = reference.members().len().max(live.members().len()).max(1);
        self.share = count / all as f64;
        if live.owner(self.store) != Some(self.me) {
            self.owned_since = None;
            self.pending.clear();
        } else if self.owned_since.is_none() {
            self.owned_since = Some(now);
            self.credit = 0.0;
            self.filled_at = now + self.settings.takeover_delay;
        }
    }

    /// Handles a pause of this process: another instance may have owned the store in the meantime.
    pub fn on_pause(&mut self, now: Millis) {
        if self.owned_since.is_some() {
            self.owned_since = Some(now);
            self.credit = 0.0;
            self.filled_at = now + self.settings.takeover_delay;
        }
    }

    /// Handles a load request from the owner of an engine, which repeats it until it receives a
    /// permit.
    pub fn on_load_request(&mut self, from: Member, request: LoadRequest, now: Millis) {
        let new_load = PendingLoad {
            from,
            request,
            first_requested_at: now,
            last_requested_at: now,
        };
        let key = (request.engine, request.model);
        let pending = self.pending.entry(key).or_insert(new_load);
        pending.from = from;
        pending.request = request;
        pending.last_requested_at = now;
    }

    /// Advances the time and returns the permits to send. A lost permit is requested again and
    /// counted twice, which errs in favor of the store.
    pub fn on_tick(&mut self, now: Millis) -> Vec<LoadPermit> {
        self.refill(now);
        let ttl = self.settings.request_ttl;
        self.pending
            .retain(|_, pending| now.since(pending.last_requested_at) < ttl);
        if self.pending.is_empty() {
            self.granted.clear();
        }
        let mut permits = Vec::new();
        while self.owned_since.is_some() && self.credit >= PERMIT_COST {
            let Some(permit) = self.pop_next() else {
                break;
            };
            self.credit -= PERMIT_COST;
            permits.push(permit);
        }
        permits
    }

    fn pop_next(&mut self) -> Option<LoadPermit> {
        let oldest = self.since_oldest_first + 1 >= self.settings.oldest_first_interval;
        let first = self.pending.iter().min_by_key(|(key, pending)| {
            let granted = self.granted.get(&key.1).copied().unwrap_or(0);
            let replicas = pending.request.replicas + granted;
            let rank = if oldest { 0 } else { pending.request.rank };
            let replicas_served = if oldest { 0 } else { replicas };
            (rank, replicas_served, pending.first_requested_at, **key)
        });
        let key = first.map(|(key, _)| *key)?;
        self.since_oldest_first = if oldest {
            0
        } else {
            self.since_oldest_first + 1
        };
        let pending = self.pending.remove(&key)?;
        *self.granted.entry(key.1).or_default() += 1;
        Some(LoadPermit {
            to: pending.from,
            engine: key.0,
            model: key.1,
        })
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now.since(self.filled_at).0 as f64;
        self.filled_at = self.filled_at.max(now);
        let cap = PERMIT_COST * self.settings.burst.max(1.0);
        let grown = self.credit + self.settings.rate * self.share * elapsed;
        self.credit = grown.min(cap);
    }
}
