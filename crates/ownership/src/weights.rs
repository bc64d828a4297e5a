//! Loads from the rate-limited weight store, highest class first.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use crate::orders::EngineId;
use crate::orders::ModelId;
use crate::view::Member;
use crate::view::View;

/// What a permit costs in credit. Credit grows by the rate a minute each millisecond, so that whole
/// rates add up without rounding.
const PERMIT_COST: f64 = 60_000.0;

/// Settings of the weight store's planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightSettings {
    /// Loads a minute that the store gives to all instances together.
    pub rate: f64,
    /// Loads that may start at once after an idle time.
    pub burst: f64,
    /// How long a permit may be used on the holder's clock.
    pub permit_ttl: Millis,
    /// How long a new owner gives no permit. More than `permit` and the lease on a view together.
    pub takeover_delay: Millis,
    /// Every how many permits one goes to whatever has waited longest, so that no class starves.
    pub oldest_first_interval: u32,
    /// How long a want lasts that isn't repeated.
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

/// An engine that should load a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadRequest {
    /// The engine.
    pub engine: EngineId,
    /// The model.
    pub model: ModelId,
    /// The rank of the highest class that waits for the model; lower is served sooner.
    pub rank: u8,
    /// How many engines serve the model now; of one rank, the model with the fewest goes first.
    pub replicas: u32,
}

/// Leave to start one load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadPermit {
    /// Who asked, the owner of the engine.
    pub to: Member,
    /// The engine.
    pub engine: EngineId,
    /// The model.
    pub model: ModelId,
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    from: Member,
    want: LoadRequest,
    first_at: Millis,
    last_at: Millis,
}

/// Gives permits for loads, on the instance that owns the weight store.
///
/// The owner is the member of highest rendezvous weight for the store's name. In a partition each
/// side has one; each gives the part of the rate that its live members are of the reference.
#[derive(Debug)]
pub struct LoadPlanner {
    settings: WeightSettings,
    me: Member,
    store: u64,
    owned_since: Option<Millis>,
    part: f64,
    credit: f64,
    filled_at: Millis,
    wanted: BTreeMap<(EngineId, ModelId), Wanted>,
    given: BTreeMap<ModelId, u32>,
    /// Permits since the last one for whatever had waited longest.
    since_floor: u32,
}

impl LoadPlanner {
    /// A planner for the store `store`, which owns it only once a view says so.
    pub fn new(settings: WeightSettings, me: Member, store: u64) -> LoadPlanner {
        LoadPlanner {
            settings,
            me,
            store,
            owned_since: None,
            part: 0.0,
            credit: 0.0,
            filled_at: Millis::ZERO,
            wanted: BTreeMap::new(),
            given: BTreeMap::new(),
            since_floor: 0,
        }
    }

    /// Whom to send wants to.
    pub fn owner(&self, live: &View) -> Option<Member> {
        live.owner(self.store)
    }

    /// The live view and the reference membership. A new owner waits until the former one's permits
    /// can't be used any more and starts with nothing saved up, so the rate holds while it moves.
    pub fn on_view(&mut self, live: &View, reference: &View, now: Millis) {
        self.refill(now);
        let count = live.members().len() as f64;
        let all = reference.members().len().max(live.members().len()).max(1);
        self.part = count / all as f64;
        if live.owner(self.store) != Some(self.me) {
            self.owned_since = None;
            self.wanted.clear();
        } else if self.owned_since.is_none() {
            self.owned_since = Some(now);
            self.credit = 0.0;
            self.filled_at = now + self.settings.takeover_delay;
        }
    }

    /// This process stood still: another may have owned the store meanwhile.
    pub fn on_pause(&mut self, now: Millis) {
        if self.owned_since.is_some() {
            self.owned_since = Some(now);
            self.credit = 0.0;
            self.filled_at = now + self.settings.takeover_delay;
        }
    }

    /// An engine's owner wants a load; it repeats the want until it has a permit.
    pub fn on_load_request(&mut self, from: Member, want: LoadRequest, now: Millis) {
        let fresh = Wanted {
            from,
            want,
            first_at: now,
            last_at: now,
        };
        let key = (want.engine, want.model);
        let wanted = self.wanted.entry(key).or_insert(fresh);
        wanted.from = from;
        wanted.want = want;
        wanted.last_at = now;
    }

    /// Time has passed. Returns the permits to send; one that is lost is asked for again and counts
    /// twice, which errs on the store's side.
    pub fn on_tick(&mut self, now: Millis) -> Vec<LoadPermit> {
        self.refill(now);
        let patience = self.settings.request_ttl;
        self.wanted
            .retain(|_, wanted| now.since(wanted.last_at) < patience);
        if self.wanted.is_empty() {
            self.given.clear();
        }
        let mut permits = Vec::new();
        while self.owned_since.is_some() && self.credit >= PERMIT_COST {
            let Some(permit) = self.take_first() else {
                break;
            };
            self.credit -= PERMIT_COST;
            permits.push(permit);
        }
        permits
    }

    fn take_first(&mut self) -> Option<LoadPermit> {
        let oldest = self.since_floor + 1 >= self.settings.oldest_first_interval;
        let first = self.wanted.iter().min_by_key(|(key, wanted)| {
            let given = self.given.get(&key.1).copied().unwrap_or(0);
            let replicas = wanted.want.replicas + given;
            let rank = if oldest { 0 } else { wanted.want.rank };
            let served = if oldest { 0 } else { replicas };
            (rank, served, wanted.first_at, **key)
        });
        let key = first.map(|(key, _)| *key)?;
        self.since_floor = if oldest { 0 } else { self.since_floor + 1 };
        let wanted = self.wanted.remove(&key)?;
        *self.given.entry(key.1).or_default() += 1;
        Some(LoadPermit {
            to: wanted.from,
            engine: key.0,
            model: key.1,
        })
    }

    fn refill(&mut self, now: Millis) {
        let span = now.since(self.filled_at).0 as f64;
        self.filled_at = self.filled_at.max(now);
        let most = PERMIT_COST * self.settings.burst.max(1.0);
        let grown = self.credit + self.settings.rate * self.part * span;
        self.credit = grown.min(most);
    }
}
