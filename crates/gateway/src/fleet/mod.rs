//! The listed backend servers, with a router and a retry policy for each service.
//!
//! This is a pure state machine: its inputs are registry entries and outcomes of attempts, its
//! outputs are choices of servers.

mod announcements;
mod choose;
mod ended;
mod evacuation;
mod need;
mod notices;
mod reach;
mod service;
mod software;
mod speeds;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing as routing;
use crocushold_routing::AttemptKey;
use crocushold_routing::Decision;
use crocushold_routing::Incarnation;
use crocushold_routing::LANES;
use crocushold_routing::Lane;
use crocushold_routing::LaneStats;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::Reachability;
use crocushold_routing::RegionKey;
use crocushold_routing::RequestFacts;
use crocushold_routing::Rests;
use crocushold_routing::ServerSpec;
use crocushold_routing::SoftwareKey;
use crocushold_routing::Stage;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use twox_hash::XxHash3_64;

use self::announcements::Announcements;
pub(crate) use self::choose::ENGINE_BOUND;
pub(crate) use self::choose::LineOffer;
use self::ended::ProbableEnd;
pub use self::need::Need;
pub use self::notices::BrittleService;
pub use self::notices::ColdPhase;
pub use self::notices::ColdQuery;
pub use self::notices::ColdReview;
use self::notices::Departures;
use self::notices::NamedLimit;
pub use self::notices::NoticeChange;
use self::notices::ReportedCold;
pub use self::notices::ServerDeparture;
pub use self::notices::ServerLimit;
pub use self::reach::Ejection;
pub use self::reach::ProbeTarget;
pub use self::reach::ServerReach;
use self::service::ModelLanes;
use self::service::Service;
use self::software::ListedSoftware;
pub use self::speeds::ServerPace;
use crate::placing::PlacementId;
use crate::routes::EngineSpec;
use crate::routes::Heartbeat;
use crate::routes::Presence;
use crate::routes::ServerRecord;
use crate::routes::SlowStart;
use crate::sharing::CachedPrefix;
use crate::sharing::EngineQueue;
use crate::sharing::Load;
use crate::sharing::LoadSum;
use crate::sharing::ServiceWork;

/// Maximum number of requests that one instance has at a server, as a multiple of the server's
/// slots.
///
/// Servers order their queues by rank, and one queue for all slots is shorter than queues for each
/// instance's share of them. The limit only keeps a single instance from filling a server's queue.
const OVERCOMMIT: u32 = 2;

/// Settings of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// This instance's availability zone.
    pub zone: String,
    /// The regions of availability zones.
    pub regions: HashMap<String, RegionKey>,
    /// Whether there are no other instances.
    pub alone: bool,
    /// Seed of the random choices.
    pub seed: u64,
    /// Ratio of retries to requests, over all instances.
    pub retry_ratio: f64,
    /// Retries that this instance may accumulate: its part of those allowed beyond the ratio.
    pub retry_burst: f64,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            zone: String::new(),
            regions: HashMap::new(),
            alone: false,
            seed: 0,
            retry_ratio: 0.1,
            retry_burst: 2.0,
        }
    }
}

/// A chosen server. One of its slots is taken until [`Fleet::done`].
#[derive(Clone, Debug)]
pub struct Choice {
    /// The server's key.
    pub server: ServerKey,
    /// Its name in the registry.
    pub id: Arc<str>,
    /// Its process. The server may restart under the same name.
    pub incarnation: Incarnation,
    /// Version of its software.
    pub software: Arc<str>,
    /// When it was chosen.
    pub chosen: Millis,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Whether it is a model engine.
    pub engine: bool,
    /// Engine from which it should fetch the shared part of the prompt.
    pub source: Option<SocketAddr>,
    /// Expected wait of the request at the server.
    pub wait: Millis,
    /// Identifies the placement at the placer if that chose the server, for later updates.
    pub placement_id: Option<PlacementId>,
    /// Number of prompt tokens that the server is expected to prefill; zero if unknown.
    pub read: u32,
    /// Hashes by which other instances identify the server and the source.
    hash: u32,
    source_hash: Option<u32>,
    lane: Lane,
    attempt: AttemptKey,
    /// The service's name.
    pub(crate) service: Arc<str>,
}

/// How the engines of a service are allocated to lanes, and the data behind it.
#[derive(Clone, Debug)]
pub struct LaneAllocation {
    /// The service's name.
    pub service: Arc<str>,
    /// Number of engines by lane.
    pub engines: [usize; LANES],
    /// Prefill rate of an engine, in tokens per millisecond.
    pub speed: f64,
    /// Recent statistics of the fleet.
    pub stats: LaneStats,
    /// Mean time for which an undisturbed live stream of this instance took a slot, in
    /// milliseconds; zero before the first one.
    pub live_span: f64,
}

/// Result of listing an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOutcome {
    /// The entry contains nothing new.
    Unchanged,
    /// The server is new, or its entry has changed.
    Changed,
    /// A known server has restarted.
    Restarted,
}

struct Server {
    record: ServerRecord,
    id: Arc<str>,
    software: Arc<str>,
    /// Hash of the name, used in gossip. It is computed once because each round lists all servers.
    hash: u32,
    incarnation: Incarnation,
    /// The server's cold phase according to its entry.
    reported_cold: ReportedCold,
    /// End of the server's assumed cold phase, regardless of its entry.
    assumed_cold_until: Millis,
    /// The limit that its answers name.
    limit: NamedLimit,
}

impl Server {
    fn new(record: ServerRecord) -> Server {
        Server {
            id: record.id.as_str().into(),
            software: record.software.as_str().into(),
            hash: short_hash(&record.id),
            incarnation: incarnation(&record),
            reported_cold: ReportedCold::default(),
            assumed_cold_until: Millis::ZERO,
            limit: NamedLimit::default(),
            record,
        }
    }

    fn cold_until(&self) -> Millis {
        self.reported_cold.until.max(self.assumed_cold_until)
    }

    /// Whether it is leaving, by its entry or by its answers.
    fn is_leaving(&self, departures: &Departures) -> bool {
        self.record.presence == Presence::Leaving || departures.contains(self.incarnation)
    }

    fn update(&mut self, record: ServerRecord) {
        self.incarnation = incarnation(&record);
        self.software = record.software.as_str().into();
        self.record = record;
    }
}

/// The backend servers as seen by one instance.
pub struct Fleet {
    settings: FleetSettings,
    services: HashMap<String, Service>,
    servers: SlotMap<ServerKey, Server>,
    ids: HashMap<String, ServerKey>,
    models: ModelLanes,
    /// Servers by the hash of their name, as used by other instances.
    hashes: HashMap<u32, ServerKey>,
    announcements: Announcements,
    /// Published properties of engines, by service.
    engines: HashMap<String, EngineSpec>,
    /// Longest tolerable pause of the live streams of each service that has any.
    live_pauses: HashMap<String, Millis>,
    /// Published services whose servers start slowly.
    slow_starts: HashMap<String, SlowStart>,
    /// Availability zones that the operator has evacuated.
    evacuated: HashSet<String>,
    /// Processes that said they are leaving.
    departures: Departures,
    /// Software versions that have been listed of late.
    listed_software: ListedSoftware,
    /// Servers whose processes have probably ended.
    ends: SecondaryMap<ServerKey, ProbableEnd>,
    /// Servers that asked this instance for rest.
    rests: Rests,
    /// Ends of the rests of processes that aren't listed at the moment.
    unlisted_rests: Vec<(Incarnation, Millis)>,
    /// Names of servers whose rest has ended, for the log.
    ended_rests: Vec<Arc<str>>,
    /// Which servers this instance reaches.
    reach: Reachability,
    /// Ejections that weren't taken yet, for the log.
    ejections: Vec<Ejection>,
    /// Services whose servers have changed since their routers were updated.
    changed: HashSet<String>,
    router_updates: u64,
    /// Number of instances, including this one.
    instances: u32,
    /// Whether this instance chooses servers for others.
    is_placer: bool,
}

impl Fleet {
    /// Creates a fleet without servers.
    pub fn new(settings: FleetSettings) -> Fleet {
        Fleet {
            rests: Rests::new(settings.seed),
            reach: Reachability::new(settings.seed),
            unlisted_rests: Vec::new(),
            ended_rests: Vec::new(),
            settings,
            services: HashMap::new(),
            servers: SlotMap::with_key(),
            ids: HashMap::new(),
            models: ModelLanes::default(),
            hashes: HashMap::new(),
            announcements: Announcements::default(),
            engines: HashMap::new(),
            live_pauses: HashMap::new(),
            slow_starts: HashMap::new(),
            evacuated: HashSet::new(),
            departures: Departures::default(),
            listed_software: ListedSoftware::default(),
            ends: SecondaryMap::new(),
            ejections: Vec::new(),
            changed: HashSet::new(),
            router_updates: 0,
            instances: 1,
            is_placer: false,
        }
    }

    /// Number of listed servers.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no server is listed.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Applies a server's registry entry.
    ///
    /// If the entry has another start time, the process was restarted, and everything learned about
    /// the server is discarded. If it has another address, what was learned at the former one is.
    ///
    /// The order of the registry decides which entry is current, not the
    /// start times, because these come from clocks that may jump. An earlier start time means
    /// either a delayed entry of the previous process, or a new process with a clock that was set
    /// back. In both cases what was learned is unreliable, but a draining server isn't reinstated
    /// by an entry with an earlier start time.
    pub fn list(&mut self, record: &ServerRecord, now: Millis) -> ListOutcome {
        let software = SoftwareKey::new(&record.software);
        self.listed_software.record(&record.service, software, now);
        let listed = self.list_record(record, now);
        let restarted = listed == ListOutcome::Restarted;
        self.review_end(&record.id, record.heartbeat.sequence, restarted, now);
        self.record_cold(&record.id, record.heartbeat, now);
        listed
    }

    fn list_record(&mut self, record: &ServerRecord, now: Millis) -> ListOutcome {
        let service = record.service.clone();
        // The heartbeat changes with each entry, and carries nothing else about the server.
        let mut record = record.clone();
        record.heartbeat = Heartbeat::default();
        let Some(&key) = self.ids.get(&record.id) else {
            let id = record.id.clone();
            let key = self.servers.insert(Server::new(record));
            self.hashes.insert(short_hash(&id), key);
            self.ids.insert(id, key);
            self.changed.insert(service);
            self.resume_rest(key);
            return ListOutcome::Changed;
        };
        let held = &self.servers[key].record;
        if record.started < held.started && held.presence == Presence::Leaving {
            record.presence = Presence::Leaving;
            record.started = held.started;
        }
        if record == *held {
            return ListOutcome::Unchanged;
        }
        let before = held.service.clone();
        let restarted = record.started != held.started;
        let moved = record.address != held.address;
        self.servers[key].update(record);
        self.changed.insert(before);
        self.changed.insert(service.clone());
        if restarted || moved {
            // Failures at another address, which an entry of another writer may have named, say nothing about this one.
            self.reach.forget(key);
            if let Some(service) = self.services.get_mut(&service) {
                service.router.server_restarted(key);
            }
        }
        if !restarted {
            return ListOutcome::Changed;
        }
        self.servers[key].limit = NamedLimit::of_new_process(now);
        self.servers[key].reported_cold = ReportedCold::default();
        self.rests.remove(key);
        ListOutcome::Restarted
    }

    /// The process behind an entry, unless it is leaving. The end of a leaving server is expected.
    pub fn serving(&self, id: &str) -> Option<Incarnation> {
        let server = &self.servers[*self.ids.get(id)?];
        (!server.is_leaving(&self.departures)).then_some(server.incarnation)
    }

    /// Whether another process than the chosen one is listed, at its address or under its name.
    pub fn is_replaced(&self, choice: &Choice) -> bool {
        let listed = self.ids.values().map(|key| &self.servers[*key]);
        let mut others = listed.filter(|server| server.incarnation != choice.incarnation);
        let started = self.started(choice);
        others.any(|server| {
            // The entry of a process that was there before may not have lapsed yet.
            let is_later = server.record.started >= started;
            server.id == choice.id || (server.record.address == choice.address && is_later)
        })
    }

    /// When the chosen process was started, if it is listed and says so.
    fn started(&self, choice: &Choice) -> Option<u64> {
        let server = &self.servers[*self.ids.get(&*choice.id)?];
        let started = server.record.started;
        started.filter(|_| server.incarnation == choice.incarnation)
    }

    /// Removes a server that is no longer listed.
    pub fn unlist(&mut self, id: &str) {
        let Some(key) = self.ids.remove(id) else {
            return;
        };
        self.hashes.remove(&short_hash(id));
        self.suspend_rest(key);
        self.ends.remove(key);
        self.reach.forget(key);
        if let Some(server) = self.servers.remove(key) {
            self.changed.insert(server.record.service);
        }
    }

    /// Number of times that a router received a new set of servers. Each time costs a pass over all
    /// servers.
    pub fn router_updates(&self) -> u64 {
        self.router_updates
    }

    /// Sets the published properties of engines.
    pub fn set_engines(&mut self, engines: &[EngineSpec]) {
        let engines = engines.iter().cloned();
        let engines = engines.map(|spec| (spec.service.clone(), spec));
        self.engines = engines.collect();
        for (name, service) in &mut self.services {
            service.set_engine(self.engines.get(name));
        }
    }

    /// Sets the longest tolerable pause of the live streams of each service that has any.
    pub fn set_live_pauses(&mut self, pauses: HashMap<String, Millis>) {
        self.live_pauses = pauses;
        for (name, service) in &mut self.services {
            service.max_pause = self.live_pauses.get(name).copied();
        }
    }

    /// Records which engines cache which prefixes, according to the requests of other instances.
    pub fn add_cached_prefixes(&mut self, cached: &[CachedPrefix], now: Millis) {
        self.update_routers(now);
        for &entry in cached {
            self.announcements.record_received(entry, now);
            let Some(&key) = self.hashes.get(&entry.engine) else {
                continue;
            };
            let name = &self.servers[key].record.service;
            if let Some(service) = self.services.get_mut(name) {
                let prefix = u64::from(entry.prefix);
                service.router.record_remote_prefix(key, prefix, now);
            }
        }
    }

    /// Decides whether a request whose attempt failed at `stage` may be sent again.
    pub fn after_failure(
        &mut self,
        service: &str,
        facts: &RequestFacts,
        stage: Stage,
        now: Millis,
    ) -> Decision {
        match self.services.get_mut(service) {
            Some(service) => service.retry.after_failure(facts, stage, now),
            None => Decision::GiveUp {
                ran: routing::Ran::Unknown,
                retry_after: None,
            },
        }
    }

    /// Records the first byte of an answer.
    pub fn first_byte(&mut self, choice: &Choice, now: Millis) {
        if let Some(service) = self.services.get_mut(&*choice.service) {
            service.router.first_byte(choice.attempt, now);
        }
    }

    /// Records the longest pause between events of a stream that has ended.
    pub fn record_pause(&mut self, choice: &Choice, longest: Millis, now: Millis) {
        let Some(service) = self.services.get_mut(&*choice.service) else {
            return;
        };
        service.router.record_longest_pause(choice.attempt, longest);
        match choice.lane {
            Lane::Heavy => service.record_stream_pause(longest, now),
            Lane::Live => service.record_live_stream(choice.attempt, longest, now),
            Lane::Light => {}
        }
    }

    /// Records the longest pause of another instance's stream. That instance itself reports it for
    /// the allocation of engines to lanes.
    pub fn record_remote_pause(&mut self, choice: &Choice, longest: Millis) {
        if let Some(service) = self.services.get_mut(&*choice.service) {
            service.router.record_longest_pause(choice.attempt, longest);
        }
    }

    /// The outcome of an attempt of this instance, as the placer is told. A rest binds only the instance
    /// that was asked.
    pub fn told_outcome(&self, choice: &Choice, outcome: Outcome) -> Outcome {
        let is_rest = outcome == Outcome::Overloaded && self.rests.contains(choice.server);
        if is_rest { Outcome::Resting } else { outcome }
    }

    /// Records that an attempt ended after `tokens` of an answer. While a server rests, its
    /// rejections are no failures, and while the path is lost, neither are failed connections.
    pub fn done(&mut self, choice: &Choice, outcome: Outcome, tokens: u32, now: Millis) {
        if matches!(outcome, Outcome::Overloaded | Outcome::Resting)
            && let Some(service) = self.services.get_mut(&*choice.service)
        {
            service.router.record_rejection(choice.server, now);
        }
        let outcome = match outcome {
            Outcome::Overloaded | Outcome::Resting if self.rests.contains(choice.server) => {
                Outcome::Cancelled
            }
            Outcome::Refused | Outcome::Unreachable if self.path_lost_since().is_some() => {
                Outcome::Cancelled
            }
            outcome => outcome,
        };
        let before = self.state_of(choice);
        if let Some(service) = self.services.get_mut(&*choice.service) {
            service.router.done(choice.attempt, outcome, tokens, now);
        }
        self.note_ejection(choice, before, now);
    }

    /// Records the number of requests at a server.
    pub fn record_load(&mut self, choice: &Choice, load: LoadReport, now: Millis) {
        if let Some(service) = self.services.get_mut(&*choice.service) {
            service.router.load_report(choice.server, load, now);
        }
    }

    /// The load of this instance, for gossip.
    pub fn local_load(&mut self, now: Millis) -> Load {
        let mut load = Load::default();
        for service in self.services.values_mut() {
            for (key, prefill_ms) in service.router.pending_prefill() {
                if let Some(server) = self.servers.get(key) {
                    load.queues.push(EngineQueue {
                        engine: server.hash,
                        read_ms: prefill_ms as u32,
                    });
                }
            }
            let work = ServiceWork::new(short_hash(&service.name), &service.lanes.local_stats(now));
            if !work.is_empty() {
                load.work.push(work);
            }
        }
        load.cached = self.announcements.take();
        load
    }

    /// Sets the load of the other instances.
    pub fn set_others_load(&mut self, others: &LoadSum) {
        for (key, server) in &self.servers {
            if server.record.models.is_empty() {
                continue;
            }
            if let Some(service) = self.services.get_mut(&server.record.service) {
                let prefill_ms = others.queue_at(server.hash);
                service.router.set_remote_pending(key, prefill_ms);
            }
        }
        for service in self.services.values_mut() {
            let work = others.work.get(&short_hash(&service.name)).copied();
            service.lanes.set_remote_stats(work.unwrap_or_default());
        }
    }

    /// Runs expired timers and reallocates engines to lanes, returning the allocations that
    /// changed. It should be called about once a second.
    pub fn tick(&mut self, now: Millis) -> Vec<LaneAllocation> {
        self.expire_departures(now);
        self.record_software(now);
        self.update_routers(now);
        let mut moved = Vec::new();
        for service in self.services.values_mut() {
            service.router.tick(now);
            if service.rebalance() {
                moved.push(service.name.clone());
            }
        }
        let allocations = moved.into_iter().map(|name| {
            self.configure(&name, now);
            let service = &self.services[&*name];
            LaneAllocation {
                engines: service.engines,
                speed: service.router.prefill_rate(),
                stats: service.lanes.fleet_stats(),
                live_span: service.lanes.live_span(),
                service: name,
            }
        });
        allocations.collect()
    }

    /// Passes the servers of changed services to their routers, before a router is used.
    ///
    /// Engines that are replaced in turn, or return together, update dozens of entries in one
    /// answer of the store, and each pass over all servers takes milliseconds. With a pass for each
    /// entry, running streams stalled on a small CPU share.
    fn update_routers(&mut self, now: Millis) {
        for name in std::mem::take(&mut self.changed) {
            self.configure(&name, now);
        }
    }

    /// Passes the servers of a service that accept requests to its router.
    fn configure(&mut self, name: &str, now: Millis) {
        self.router_updates += 1;
        let settings = &self.settings;
        let service = self.services.entry(name.to_owned()).or_insert_with(|| {
            let mut service = Service::new(name, settings, now);
            service.set_engine(self.engines.get(name));
            service.max_pause = self.live_pauses.get(name).copied();
            service.set_slow_start(self.slow_starts.get(name));
            service
        });
        let servers = self.servers.iter().filter(|(_, server)| {
            let record = &server.record;
            let accepts = !server.is_leaving(&self.departures);
            record.service == name && accepts && !self.evacuated.contains(&record.zone)
        });
        let mut specs: Vec<(ServerSpec, &[String])> = servers
            .map(|(key, server)| {
                let record = &server.record;
                let region = settings.regions.get(&record.zone).copied();
                let has_ended = self.ends.contains_key(key);
                let software = (!has_ended).then(|| SoftwareKey::new(&record.software));
                let spec = spec(key, record, region, software);
                (spec, record.models.as_slice())
            })
            .collect();
        // Use the same order on every instance, so that their lanes are about the same.
        specs.sort_unstable_by_key(|(spec, _)| spec.id);
        let engines = specs
            .iter()
            .filter(|(_, models)| !models.is_empty())
            .count();
        service.engines = service.lanes.counts(engines);
        let [live, light, heavy] = service.engines;
        let lanes = std::iter::repeat_n(Lane::Live, live)
            .chain(std::iter::repeat_n(Lane::Light, light))
            .chain(std::iter::repeat_n(Lane::Heavy, heavy));
        let engines = specs.iter_mut().filter(|(_, models)| !models.is_empty());
        for ((spec, models), lane) in engines.zip(lanes) {
            service.slots = spec.concurrency / OVERCOMMIT;
            for model in *models {
                spec.models.push(self.models.key(model, lane));
            }
        }
        let specs: Vec<ServerSpec> = specs.into_iter().map(|(spec, _)| spec).collect();
        service.router.configure(&specs, now);
        self.push_paces(name, now);
    }
}

fn spec(
    key: ServerKey,
    record: &ServerRecord,
    region: Option<RegionKey>,
    software: Option<SoftwareKey>,
) -> ServerSpec {
    ServerSpec {
        key,
        id: XxHash3_64::oneshot(record.id.as_bytes()),
        zone: record.zone.clone(),
        region,
        software,
        concurrency: record.slots.saturating_mul(OVERCOMMIT).max(1),
        models: Vec::new(),
    }
}

/// Computed from the entry alone, so that it is the same on all instances.
fn incarnation(record: &ServerRecord) -> Incarnation {
    let started = record.started.unwrap_or_default();
    Incarnation(XxHash3_64::oneshot_with_seed(started, record.id.as_bytes()))
}

/// Short hash of a name that is the same on all instances.
pub(crate) fn short_hash(name: &str) -> u32 {
    XxHash3_64::oneshot(name.as_bytes()) as u32
}
