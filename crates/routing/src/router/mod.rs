//! The router: one service's servers as one entry instance sees them.

mod choice;
mod expected;
mod feedback;
mod kept;
mod listing;
mod placement;
mod room;
mod slots;
mod types;
mod warming;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use slotmap::SecondaryMap;
use slotmap::SlotMap;

use self::listing::Freshness;
pub use self::room::EngineCapacity;
pub use self::types::AttemptKey;
pub use self::types::Demand;
use self::types::InFlight;
pub use self::types::NoServer;
pub use self::types::Outcome;
pub use self::types::Pick;
pub use self::types::Placement;
pub use self::types::Reason;
pub use self::types::Spill;
use crate::cache::Hints;
use crate::delay::Speed;
use crate::pool::Pool;
use crate::server::Allotment;
use crate::server::Counted;
use crate::server::Departure;
use crate::server::Member;
use crate::server::Server;
use crate::server::ServerSpec;
use crate::server::Share;
use crate::server::Standing;
use crate::settings::Settings;
use crate::stats::Ewma;

/// The pool of all servers, for demands that name no model.
const ALL: usize = 0;

/// Chooses servers for one service on one entry instance.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    zone: String,
    rng: Xoshiro256PlusPlus,
    share: Share,
    /// Where they differ from the share.
    allotments: SecondaryMap<ServerKey, Allotment>,
    servers: SecondaryMap<ServerKey, Server>,
    pools: Vec<Pool>,
    models: SecondaryMap<ModelKey, usize>,
    attempts: SlotMap<AttemptKey, InFlight>,
    hints: Hints,
    timers: BinaryHeap<Reverse<(Millis, ServerKey)>>,
    freshness: Freshness,
    revision: u64,
    /// Since when the list's revisions have been lower than one already seen.
    outdated: Option<Millis>,
    /// Servers that the list called leaving, those that aren't configured included: one that is
    /// configured again must not take work until a list calls it live.
    leaving: SecondaryMap<ServerKey, ()>,
    /// Servers that aren't departing.
    present: usize,
    /// Present servers that are out on suspicion.
    ejected: usize,
    /// Present servers with a failure or slow sample against them.
    suspects: usize,
    others: Ewma,
    lasting: Ewma,
    volume: Ewma,
    /// How fast engines read prompts.
    speed: Speed,
    /// How long the reading of a prompt takes, in milliseconds.
    reading: Ewma,
    /// How long long prompts are expected to wait where they are sent, in milliseconds.
    waits: Ewma,
    /// Tokens of a prompt's memory that a server brings from another in a millisecond; none where servers
    /// can't.
    transfer: Option<f64>,
    /// What each server runs at a time, where that is known.
    room: Option<EngineCapacity>,
    /// Requests a second that a cold server takes from all instances together; none where it takes as many as a
    /// warm one.
    cold_rate: Option<f64>,
    called: Millis,
    woke: Millis,
}

impl Router {
    /// A router without servers, for an instance in availability zone `zone`.
    ///
    /// The same seed and the same calls give the same choices.
    pub fn new(settings: Settings, zone: &str, seed: u64) -> Router {
        Router {
            hints: Hints::new(settings.cache_hints),
            settings,
            zone: zone.to_owned(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            share: Share::default(),
            allotments: SecondaryMap::new(),
            servers: SecondaryMap::new(),
            pools: vec![Pool::default()],
            models: SecondaryMap::new(),
            attempts: SlotMap::with_key(),
            timers: BinaryHeap::new(),
            freshness: Freshness::Untold,
            revision: 0,
            outdated: None,
            leaving: SecondaryMap::new(),
            present: 0,
            ejected: 0,
            suspects: 0,
            others: Ewma::default(),
            lasting: Ewma::default(),
            volume: Ewma::default(),
            speed: Speed::default(),
            reading: Ewma::default(),
            waits: Ewma::default(),
            transfer: None,
            room: None,
            cold_rate: None,
            called: Millis::ZERO,
            woke: Millis::ZERO,
        }
    }

    /// Takes over a set of servers, this instance's subset where it uses one.
    ///
    /// Servers that stay keep their state; those that are no longer named get no new work and are
    /// forgotten with their last attempt. Don't leave a server out because an instance list lacks
    /// it, unless [`Router::instance_list`] accepted that list: the check for a list that is empty
    /// by mistake would be bypassed. Costs a pass over all servers.
    pub fn configure(&mut self, specs: &[ServerSpec], now: Millis) {
        let mut named: SecondaryMap<ServerKey, ()> = SecondaryMap::new();
        for spec in specs {
            self.admit(spec);
            named.insert(spec.key, ());
        }
        for (key, server) in &mut self.servers {
            if !named.contains_key(key) {
                server.departure = Some(Departure::Removed);
            }
        }
        self.servers.retain(|_, server| {
            server.departure != Some(Departure::Removed) || server.in_flight > 0
        });
        self.rebuild();
        self.recount(now);
    }

    /// Sets this instance's part of each server's concurrency, the same for all.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
        self.allot(&[]);
    }

    /// Sets how much of each server this instance may use, also of servers that are configured
    /// later; [`Router::set_share`] holds for those that aren't named.
    pub fn allot(&mut self, allotments: &[(ServerKey, Allotment)]) {
        self.allotments = allotments.iter().copied().collect();
        let keys: Vec<ServerKey> = self.servers.keys().collect();
        for key in keys {
            let allotment = self.allotment(key);
            self.servers[key].allot(allotment);
            self.settle(key);
        }
    }

    /// Runs timers out. Call it once a second at least; `pick` and `free` do it too.
    pub fn tick(&mut self, now: Millis) {
        self.notice_gap(now);
        while let Some(&Reverse((due, key))) = self.timers.peek() {
            if due > now {
                break;
            }
            self.timers.pop();
            self.expire(key, now);
        }
    }

    /// Attempts that could be started now, over all servers; none while the instance list is stale.
    pub fn free(&mut self, now: Millis) -> usize {
        self.free_in(Some(ALL), now)
    }

    /// Attempts that could be started now on servers that hold `model`.
    pub fn free_for(&mut self, model: ModelKey, now: Millis) -> usize {
        let pool = self.pool_of(Some(model));
        self.free_in(pool, now)
    }

    /// Why a pick for `model` would find no server now; `None` when one has a free slot.
    pub fn unavailable_reason(&self, model: Option<ModelKey>) -> Option<Reason> {
        let Some(pool) = self.pool_of(model) else {
            return Some(Reason::NoModel);
        };
        self.pools[pool]
            .open
            .is_empty()
            .then(|| self.why_none(pool, &[]))
    }

    /// How `server` stands, and why; `None` for one that isn't known.
    pub fn standing(&self, server: ServerKey) -> Option<Standing> {
        self.servers.get(server).map(Server::standing)
    }

    /// The servers that are known, those that finish their last attempts included.
    pub fn servers(&self) -> impl Iterator<Item = ServerKey> {
        self.servers.keys()
    }

    /// How long to wait for a first byte from a server that holds `model`.
    pub fn first_byte_timeout(&self, model: Option<ModelKey>) -> Millis {
        let pool = self.pool_of(model).unwrap_or(ALL);
        self.pools[pool].first_byte_timeout(&self.settings)
    }

    fn free_in(&mut self, pool: Option<usize>, now: Millis) -> usize {
        self.tick(now);
        let fresh = self.check_fresh(now).is_ok();
        pool.filter(|_| fresh)
            .map_or(0, |pool| self.pools[pool].free)
    }

    fn pool_of(&self, model: Option<ModelKey>) -> Option<usize> {
        let Some(model) = model else {
            return Some(ALL);
        };
        let pool = self.models.get(model).copied();
        pool.filter(|&pool| self.pools[pool].members > 0)
    }

    fn allotment(&self, server: ServerKey) -> Allotment {
        let allotment = self.allotments.get(server).copied();
        allotment.unwrap_or(Allotment::Own(self.share))
    }

    fn admit(&mut self, spec: &ServerSpec) {
        let local = spec.zone == self.zone;
        let allotment = self.allotment(spec.key);
        let leaving = self.leaving.contains_key(spec.key);
        let departure = leaving.then_some(Departure::Leaving);
        let Some(server) = self.servers.get_mut(spec.key) else {
            let mut server = Server::new(spec.clone(), local, allotment);
            server.departure = departure;
            self.servers.insert(spec.key, server);
            return;
        };
        if server.departure == Some(Departure::Removed) {
            server.departure = departure;
        }
        if server.spec != *spec {
            server.spec.clone_from(spec);
            server.local = local;
            server.allot(allotment);
        }
    }

    /// Lays out the pools anew; what they have measured stays.
    fn rebuild(&mut self) {
        for pool in &mut self.pools {
            pool.open.clear();
            pool.free = 0;
            pool.usable = 0;
            pool.members = 0;
        }
        let mut homes: Vec<Vec<(u64, ServerKey)>> = vec![Vec::new(); self.pools.len()];
        for (key, server) in &mut self.servers {
            server.counted = Counted::default();
            server.members.clear();
            if server.departure == Some(Departure::Removed) {
                continue;
            }
            server.members.push(Member::of(ALL));
            for &model in &server.spec.models {
                let next = self.pools.len();
                let pool = match self.models.get(model) {
                    Some(&pool) => pool,
                    None => {
                        self.models.insert(model, next);
                        self.pools.push(Pool::default());
                        homes.push(Vec::new());
                        next
                    }
                };
                server.members.push(Member::of(pool));
            }
            for member in &server.members {
                self.pools[member.pool].members += 1;
                homes[member.pool].push((server.spec.id, key));
            }
        }
        for (pool, homes) in self.pools.iter_mut().zip(homes) {
            pool.ring.update(&homes);
        }
    }
}
