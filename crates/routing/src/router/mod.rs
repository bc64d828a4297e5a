//! The router: the servers of one service from the view of one entry instance.

mod capacity;
mod choice;
mod expected;
mod feedback;
mod instance_list;
mod live;
mod paced;
mod placement;
mod prefix;
mod slots;
mod types;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use slotmap::SecondaryMap;
use slotmap::SlotMap;

pub use self::capacity::EngineCapacity;
use self::instance_list::Freshness;
pub use self::types::AttemptKey;
pub use self::types::Demand;
use self::types::InFlight;
pub use self::types::NoServer;
pub use self::types::Outcome;
pub use self::types::Pick;
pub use self::types::Placement;
pub use self::types::Reason;
pub use self::types::Spill;
use crate::brittle::Brittleness;
use crate::cache::Hints;
use crate::live_streams::PauseModel;
use crate::pool::Pool;
use crate::queue_delay::FirstTokenLatency;
use crate::queue_delay::PrefillRate;
use crate::server::Allotment;
use crate::server::Departure;
use crate::server::Member;
use crate::server::Server;
use crate::server::ServerSpec;
use crate::server::Share;
use crate::server::SlotCounts;
use crate::server::Standing;
use crate::server_speed::FADE_INTERVAL;
use crate::server_speed::UsualPace;
use crate::settings::Settings;
use crate::stats::Ewma;

/// The pool of all servers, for demands without a model.
const ALL: usize = 0;

/// Chooses servers for one service on one entry instance.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    zone: String,
    rng: Xoshiro256PlusPlus,
    share: Share,
    /// Allotments that differ from the share.
    allotments: SecondaryMap<ServerKey, Allotment>,
    pub(crate) servers: SecondaryMap<ServerKey, Server>,
    pools: Vec<Pool>,
    models: SecondaryMap<ModelKey, usize>,
    attempts: SlotMap<AttemptKey, InFlight>,
    hints: Hints,
    timers: BinaryHeap<Reverse<(Millis, ServerKey)>>,
    freshness: Freshness,
    revision: u64,
    /// Since when the list's revisions have been lower than one already seen.
    outdated_since: Option<Millis>,
    /// Servers that the list showed as leaving, including ones that aren't configured. A server
    /// that is configured again must not get requests until a list shows it as live.
    leaving: SecondaryMap<ServerKey, ()>,
    /// Number of servers without a departure.
    present: usize,
    /// Present servers that are ejected on suspicion.
    ejected: usize,
    /// Present servers with a failure or slow sample counted against them.
    suspects: usize,
    remote_load: Ewma,
    request_duration: Ewma,
    request_tokens: Ewma,
    /// Prefill rate of a usual engine.
    prefill_rate: PrefillRate,
    /// The latency of a usual engine.
    latency: FirstTokenLatency,
    /// Whether a server has ever reported a pace other than the usual one.
    is_uneven: bool,
    /// Mean prefill time of a prompt, in milliseconds.
    prefill_time: Ewma,
    /// Mean expected wait of long prompts, in milliseconds.
    long_prompt_wait: Ewma,
    /// Transfer rate of cached prompts between servers, in tokens per millisecond; `None` if they
    /// can't transfer.
    transfer_rate: Option<f64>,
    /// The capacity of each engine, if known.
    capacity: Option<EngineCapacity>,
    /// The effect of prefills on live streams, if it is known and live streams need protection.
    pause_model: Option<PauseModel>,
    /// Requests per second that a cold server tolerates from all instances together; `None` if it
    /// tolerates as many as a warm one.
    cold_rate: Option<f64>,
    /// How brittle the servers are; `None` if they aren't.
    pub(crate) brittle: Option<Brittleness>,
    /// When the speeds last faded.
    speeds_faded: Millis,
    last_call: Millis,
    resumed_at: Millis,
}

impl Router {
    /// Creates a router without servers, for an instance in availability zone `zone`.
    ///
    /// The same seed and calls give the same choices.
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
            freshness: Freshness::NoList,
            revision: 0,
            outdated_since: None,
            leaving: SecondaryMap::new(),
            present: 0,
            ejected: 0,
            suspects: 0,
            remote_load: Ewma::default(),
            request_duration: Ewma::default(),
            request_tokens: Ewma::default(),
            prefill_rate: PrefillRate::default(),
            latency: FirstTokenLatency::default(),
            is_uneven: false,
            prefill_time: Ewma::default(),
            long_prompt_wait: Ewma::default(),
            transfer_rate: None,
            capacity: None,
            pause_model: None,
            cold_rate: None,
            brittle: None,
            speeds_faded: Millis::ZERO,
            last_call: Millis::ZERO,
            resumed_at: Millis::ZERO,
        }
    }

    /// Sets the servers, or this instance's subset of them.
    ///
    /// Remaining servers keep their state. Servers that are no longer named get no new requests and
    /// are forgotten with their last attempt. Don't omit a server because an instance list lacks it
    /// unless [`Router::instance_list`] accepted that list, as this would bypass the check for a
    /// list that is empty by mistake. Takes time linear in the number of servers.
    pub fn configure(&mut self, specs: &[ServerSpec], now: Millis) {
        let mut named: SecondaryMap<ServerKey, ()> = SecondaryMap::new();
        for spec in specs {
            self.add_server(spec);
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
        self.rebuild_pools();
        self.recount(now);
    }

    /// Sets this instance's share of each server's concurrency, the same for all servers.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
        self.allot(&[]);
    }

    /// Sets how much of each server this instance may use, including servers that are configured
    /// later. [`Router::set_share`] applies to the servers that aren't named.
    pub fn allot(&mut self, allotments: &[(ServerKey, Allotment)]) {
        self.allotments = allotments.iter().copied().collect();
        let keys: Vec<ServerKey> = self.servers.keys().collect();
        for key in keys {
            let allotment = self.allotment(key);
            self.servers[key].allot(allotment);
            self.update_slots(key);
        }
    }

    /// Runs expired timers. Call it at least once a second; `pick` and `free` call it too.
    pub fn tick(&mut self, now: Millis) {
        self.detect_suspension(now);
        self.fade_speeds(now);
        while let Some(&Reverse((due, key))) = self.timers.peek() {
            if due > now {
                break;
            }
            self.timers.pop();
            self.expire(key, now);
        }
    }

    /// Lets what was learned about servers without samples fade.
    fn fade_speeds(&mut self, now: Millis) {
        if now.since(self.speeds_faded) < FADE_INTERVAL {
            return;
        }
        self.speeds_faded = now;
        for server in self.servers.values_mut() {
            server.speed.fade(now);
        }
    }

    /// Returns the number of attempts that could start now on all servers; zero while the instance
    /// list is stale.
    pub fn free(&mut self, now: Millis) -> usize {
        self.free_in(Some(ALL), now)
    }

    /// Returns the number of attempts that could start now on servers that hold `model`.
    pub fn free_for(&mut self, model: ModelKey, now: Millis) -> usize {
        let pool = self.pool_of(Some(model));
        self.free_in(pool, now)
    }

    /// Returns why a pick for `model` would find no server now; `None` if a server has a free slot.
    pub fn unavailable_reason(&self, model: Option<ModelKey>) -> Option<Reason> {
        let Some(pool) = self.pool_of(model) else {
            return Some(Reason::NoModel);
        };
        self.pools[pool]
            .open
            .is_empty()
            .then(|| self.pool_unavailable_reason(pool, &[]))
    }

    /// Returns how long work takes on `server` by its reports, relative to a usual server: as a rule,
    /// and now. `None` without reports.
    pub fn reported_pace(&self, server: ServerKey, now: Millis) -> Option<[f64; 2]> {
        self.servers.get(server)?.speed.reported(now)
    }

    /// Returns the usual pace of `server` by its reports; `None` without reports.
    pub fn usual_pace(&self, server: ServerKey) -> Option<UsualPace> {
        self.servers.get(server)?.speed.usual_pace()
    }

    /// Takes over the usual pace of `server` that another instance knows, if that had more reports.
    pub fn adopt_pace(&mut self, server: ServerKey, told: UsualPace, now: Millis) {
        if let Some(state) = self.servers.get_mut(server) {
            state.speed.adopt_pace(told, now);
            self.is_uneven |= told.percent != UsualPace::PUBLISHED.percent;
        }
    }

    /// Whether servers report that they differ in speed.
    pub fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// Whether all servers together run at most `limit` requests at once.
    pub fn has_few_slots(&self, limit: u32) -> bool {
        let overcommit = self.settings.overcommit.max(1);
        let mut left = limit;
        self.servers.values().all(|server| {
            let slots = server.spec.concurrency / overcommit;
            let fits = slots <= left;
            left = left.saturating_sub(slots);
            fits
        })
    }

    /// Returns the status of `server`; `None` if it is unknown.
    pub fn standing(&self, server: ServerKey) -> Option<Standing> {
        self.servers.get(server).map(Server::standing)
    }

    /// Iterates over the known servers, including removed ones with attempts in flight.
    pub fn servers(&self) -> impl Iterator<Item = ServerKey> {
        self.servers.keys()
    }

    /// Returns the first-byte timeout for servers that hold `model`.
    pub fn first_byte_timeout(&self, model: Option<ModelKey>) -> Millis {
        let pool = self.pool_of(model).unwrap_or(ALL);
        self.pools[pool].first_byte_timeout(&self.settings)
    }

    fn free_in(&mut self, pool: Option<usize>, now: Millis) -> usize {
        self.tick(now);
        let fresh = self.check_lease(now).is_ok();
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

    fn add_server(&mut self, spec: &ServerSpec) {
        let same_zone = spec.zone == self.zone;
        let allotment = self.allotment(spec.key);
        let leaving = self.leaving.contains_key(spec.key);
        let departure = leaving.then_some(Departure::Leaving);
        let Some(server) = self.servers.get_mut(spec.key) else {
            let mut server = Server::new(spec.clone(), same_zone, allotment);
            server.departure = departure;
            self.servers.insert(spec.key, server);
            return;
        };
        if server.departure == Some(Departure::Removed) {
            server.departure = departure;
        }
        if server.spec != *spec {
            server.spec.clone_from(spec);
            server.same_zone = same_zone;
            server.allot(allotment);
        }
    }

    /// Rebuilds the pools, keeping their measurements.
    fn rebuild_pools(&mut self) {
        for pool in &mut self.pools {
            pool.open.clear();
            pool.free = 0;
            pool.usable = 0;
            pool.members = 0;
        }
        let mut homes: Vec<Vec<(u64, ServerKey)>> = vec![Vec::new(); self.pools.len()];
        for (key, server) in &mut self.servers {
            server.pool_counts = SlotCounts::default();
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
