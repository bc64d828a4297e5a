//! The published configuration: routes by host and path, client accounts, limits of callers.

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::RegionKey;
use crocushold_routing::Room;

use crate::era::EntryVersion;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// Running it twice does no harm.
    Idempotent,
    /// It runs once at most.
    Once,
    /// A stream that runs once at most.
    Stream,
    /// A stream that another server may go on with from the last event that was passed on.
    ResumableStream,
}

impl Repeat {
    /// Whether the request may be sent again while nothing of an answer was passed on.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream | Repeat::ResumableStream)
    }

    /// A label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Repeat::Idempotent => "idempotent",
            Repeat::Once => "once",
            Repeat::Stream => "stream",
            Repeat::ResumableStream => "resumable-stream",
        }
    }
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service's name.
    pub service: String,
    /// Its part, relative to the sum over the route's services.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that a request asks for.
    pub host: String,
    /// What the path begins with; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// The longest time that a request may take.
    pub timeout: Millis,
    /// When an answer, or its first event, is on time.
    pub target: Millis,
    /// The longest pause between events with which a stream is on time.
    pub gap: Millis,
    /// Most servers that one request is sent to.
    pub attempts: u32,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether a request needs no key.
    pub public: bool,
    /// The regions in which its requests may run; `None` for any.
    pub regions: Option<Vec<RegionKey>>,
    /// The services behind it.
    pub shares: Vec<Share>,
}

impl Route {
    /// The service for a request, chosen by the weights from `draw`, a hash of the request.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut rest = draw.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.service);
            }
            rest -= weight;
        }
        None
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Its name, which backend servers are told.
    pub name: String,
    /// The keys that its callers send.
    pub keys: Vec<String>,
    /// Its rank, which goes before that of a route.
    pub priority: Option<u8>,
    /// The regions in which its requests may run; `None` for any.
    pub regions: Option<Vec<RegionKey>>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// From the first byte of a head to its end.
    pub head_timeout: Millis,
    /// How long a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        // The defaults of `crocushold_http`, for a configuration that names no limits.
        CallerLimits {
            head_bytes: 8 * 1024 - 1,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Millis::from_secs(10),
            idle_timeout: Millis::from_secs(75),
        }
    }
}

/// What is published of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The service.
    pub service: String,
    /// Tokens of a prompt's memory that an engine brings from another in a millisecond; `None` where it
    /// can't.
    pub transfer_rate: Option<f64>,
    /// What an engine runs at a time; `None` where that isn't published.
    pub room: Option<Room>,
}

/// What is published of a service whose servers start slowly.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// The service.
    pub service: String,
    /// Requests a second that a cold server bears, from all instances together.
    pub rate: f64,
    /// How long a server is cold after its start.
    pub span: Millis,
}

/// What a [`RouteTable`] is made of.
#[derive(Clone, Debug, Default)]
pub struct TableSpec {
    /// Increases with every change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The client accounts; none where no keys are asked for.
    pub accounts: Vec<Account>,
    /// What is known of engines.
    pub engines: Vec<EngineSpec>,
    /// The services whose servers start slowly.
    pub slow_starts: Vec<SlowStart>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// A configuration, indexed for look-ups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    routes: Vec<Route>,
    /// Places of the routes of each host, those with the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    accounts: Vec<Account>,
    keys: HashMap<String, usize>,
    engines: Vec<EngineSpec>,
    slow_starts: Vec<SlowStart>,
    limits: CallerLimits,
    /// How many priorities accounts have.
    levels: u8,
    /// The priority of the least urgent streams.
    last_priority: u8,
    /// The shortest and the longest pause that streams of a route may make.
    gaps: [Millis; 2],
}

/// How far above the shortest pause that of a live route may lie, in percent of it.
const LIVE_SPREAD: u64 = 125;

/// How many times longer the longest pause is where some routes are live: with less, all streams suffer from
/// prompts about alike.
const LIVE_DISTANCE: u64 = 2;

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(spec: TableSpec) -> RouteTable {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, route) in spec.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(place);
        }
        for places in hosts.values_mut() {
            places.sort_by_key(|&place| std::cmp::Reverse(spec.routes[place].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (place, account) in spec.accounts.iter().enumerate() {
            keys.extend(account.keys.iter().map(|key| (key.clone(), place)));
        }
        let streams = spec.routes.iter().filter(|route| route.repeat.is_stream());
        let last_priority = streams.map(|route| route.priority).max().unwrap_or(0);
        let streams = spec.routes.iter().filter(|route| route.repeat.is_stream());
        let gaps = streams.map(|route| route.gap).filter(|gap| gap.0 > 0);
        let gaps = gaps.fold([Millis::MAX, Millis::ZERO], |[least, most], gap| {
            [least.min(gap), most.max(gap)]
        });
        let levels = spec.accounts.iter().filter_map(|account| account.priority);
        let levels = levels.max().map_or(0, |last| last.saturating_add(1));
        RouteTable {
            levels,
            last_priority,
            gaps,
            version: spec.version,
            routes: spec.routes,
            hosts,
            accounts: spec.accounts,
            keys,
            engines: spec.engines,
            slow_starts: spec.slow_starts,
            limits: spec.limits,
        }
    }

    /// Increases with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// What is known of engines.
    pub fn engines(&self) -> &[EngineSpec] {
        &self.engines
    }

    /// The services whose servers start slowly.
    pub fn slow_starts(&self) -> &[SlowStart] {
        &self.slow_starts
    }

    /// Bounds on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route with the longest prefix that begins `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_name(host).to_ascii_lowercase();
        let mut places = self.hosts.get(&host)?.iter();
        let place = places.find(|&&place| path.starts_with(&self.routes[place].prefix));
        place.map(|&place| &self.routes[place])
    }

    /// A request's rank; 0 is the most urgent.
    ///
    /// The route's priority goes first, and the account's among equals. Engines preempt by rank: with the
    /// account first, live streams of one account were preempted while batch work of a more urgent
    /// account ran on beside them, and a live stream must never make room for a lower tier.
    pub fn rank(&self, route: &Route, account: Option<&Account>) -> u8 {
        let own = account.and_then(|account| account.priority);
        // An account that has no priority comes after those that have one.
        let level = own.unwrap_or(self.levels);
        let first = route.priority.saturating_mul(self.levels.saturating_add(1));
        first.saturating_add(level)
    }

    /// The regions in which a request may run; `None` for any. Those of the route and those of the account both bind.
    pub fn regions(&self, route: &Route, account: Option<&Account>) -> Option<Vec<RegionKey>> {
        let own = account.and_then(|account| account.regions.as_ref());
        match (&route.regions, own) {
            (None, own) => own.cloned(),
            (regions, None) => regions.clone(),
            (Some(regions), Some(own)) => {
                let both = regions.iter().filter(|region| own.contains(region));
                Some(both.copied().collect())
            }
        }
    }

    /// Whether no stream is less urgent than those of the route.
    pub fn is_least_urgent(&self, route: &Route) -> bool {
        route.repeat.is_stream() && route.priority >= self.last_priority
    }

    /// Whether the pauses of the route's streams must be the shortest, by far.
    ///
    /// Engines that read prompts between the tokens make pauses that most streams bear. Those that don't
    /// are worth engines of their own.
    pub fn is_live(&self, route: &Route) -> bool {
        let [least, most] = self.gaps;
        let gap = route.gap.0;
        let tight = gap > 0 && gap * 100 <= least.0 * LIVE_SPREAD;
        route.repeat.is_stream() && tight && least.0 * LIVE_DISTANCE <= most.0
    }

    /// Whether callers must send a key on routes that aren't public.
    pub fn requires_keys(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The account that holds `key`.
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.keys.get(key).map(|&place| &self.accounts[place])
    }
}

/// The host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It does.
    Ready,
    /// It is leaving and finishes what it has.
    Leaving,
}

/// What the registry says of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Names the server; it may start again under the same name.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub presence: Presence,
    /// When its process started, by its own time of day in Unix milliseconds: another number is another
    /// process, which holds nothing of what the one before had read. `None` where it doesn't say.
    pub started: Option<u64>,
    /// The models that it holds; none for a plain service.
    pub models: Vec<String>,
    /// What it tells anew from time to time.
    pub heartbeat: Heartbeat,
}

impl ServerRecord {
    /// Which of the server's entries it is from.
    pub fn version(&self) -> EntryVersion {
        EntryVersion {
            started: self.started,
            sequence: self.heartbeat.sequence,
        }
    }
}

/// What a server tells anew with each entry that it writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Counts its entries.
    pub sequence: u64,
    /// How much longer it is cold.
    pub cold_remaining: Millis,
}
