//! The published configuration: routes by host and path, client accounts, and limits for callers.

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::EngineCapacity;
use crocushold_routing::RegionKey;
use serde::Deserialize;
use serde::Serialize;

use crate::era::EntryVersion;
use crate::fleet::short_hash;

/// How often a request may run. Instances exchange it as the index of the variant, so new variants
/// must be added at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Repeat {
    /// It may run more than once without harm.
    Idempotent,
    /// It must run at most once.
    Once,
    /// A stream that must run at most once.
    Stream,
    /// A stream that another server can resume after the last event that was relayed.
    ResumableStream,
}

impl Repeat {
    /// Whether the request may be sent again as long as nothing of an answer was relayed.
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

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service's name.
    pub service: String,
    /// Its weight, relative to the sum over the route's services.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host of its requests.
    pub host: String,
    /// Prefix of the path; it begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub repeat: Repeat,
    /// Maximum duration of a request.
    pub timeout: Millis,
    /// Target latency of the answer, or of the first event of a stream.
    pub target: Millis,
    /// Longest pause between events with which a stream meets its target.
    pub gap: Millis,
    /// Maximum number of servers that a request is sent to.
    pub attempts: u32,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key.
    pub public: bool,
    /// The regions in which its requests may run; `None` for any.
    pub regions: Option<Vec<RegionKey>>,
    /// The services that handle its requests.
    pub shares: Vec<Share>,
}

impl Route {
    /// Chooses a service by weight. `draw` is a hash of the request.
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
    /// Its name, which is sent to backend servers.
    pub name: String,
    /// The API keys of its callers.
    pub keys: Vec<String>,
    /// Its priority, which orders requests of routes with equal priority.
    pub priority: Option<u8>,
    /// The regions in which its requests may run; `None` for any.
    pub regions: Option<Vec<RegionKey>>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time from the first byte of a head to its end.
    pub head_timeout: Millis,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        // The defaults of `crocushold_http`, for a configuration without limits.
        CallerLimits {
            head_bytes: 8 * 1024 - 1,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Millis::from_secs(10),
            idle_timeout: Millis::from_secs(75),
        }
    }
}

/// Published properties of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The service.
    pub service: String,
    /// Rate at which an engine fetches a prompt's cache from another engine, in tokens per
    /// millisecond; `None` if it can't.
    pub transfer_rate: Option<f64>,
    /// Capacity of an engine; `None` if it isn't published.
    pub capacity: Option<EngineCapacity>,
    /// Tokens in one event of a stream; `None` if it isn't published.
    pub event_tokens: Option<u32>,
}

/// A service whose servers start slowly.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// The service.
    pub service: String,
    /// Requests per second that a cold server can handle, from all instances together.
    pub rate: f64,
    /// How long a server is cold after its start.
    pub duration: Millis,
    /// Path of the servers' health checks; `None` if it isn't published.
    pub health_path: Option<String>,
}

/// Contents of a [`RouteTable`].
#[derive(Clone, Debug, Default)]
pub struct TableSpec {
    /// Increases with every change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The client accounts. If there are none, no API keys are required.
    pub accounts: Vec<Account>,
    /// Properties of engines.
    pub engines: Vec<EngineSpec>,
    /// The services whose servers start slowly.
    pub slow_starts: Vec<SlowStart>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// A configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    routes: Vec<Route>,
    /// Indices of the routes of each host, in descending order of their prefix length.
    hosts: HashMap<String, Vec<usize>>,
    accounts: Vec<Account>,
    keys: HashMap<String, usize>,
    engines: Vec<EngineSpec>,
    slow_starts: Vec<SlowStart>,
    limits: CallerLimits,
    /// Number of distinct account priorities.
    priority_levels: u8,
    /// Priority of the least urgent streams.
    lowest_priority: u8,
    /// The shortest and the longest pause between events that any stream route permits.
    gap_range: [Millis; 2],
}

/// Maximum gap of a live route, in percent of the shortest gap.
const LIVE_GAP_SPREAD_PERCENT: u64 = 125;

/// Minimum ratio of the longest to the shortest gap for any route to be live. With a smaller ratio
/// all streams are affected by prompts about equally.
const LIVE_GAP_RATIO: u64 = 2;

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(spec: TableSpec) -> RouteTable {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in spec.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for indices in hosts.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(spec.routes[index].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, account) in spec.accounts.iter().enumerate() {
            keys.extend(account.keys.iter().map(|key| (key.clone(), index)));
        }
        let streams = spec.routes.iter().filter(|route| route.repeat.is_stream());
        let lowest_priority = streams.map(|route| route.priority).max().unwrap_or(0);
        let streams = spec.routes.iter().filter(|route| route.repeat.is_stream());
        let gap_range = streams.map(|route| route.gap).filter(|gap| gap.0 > 0);
        let gap_range = gap_range.fold([Millis::MAX, Millis::ZERO], |[min_gap, max_gap], gap| {
            [min_gap.min(gap), max_gap.max(gap)]
        });
        let priority_levels = spec.accounts.iter().filter_map(|account| account.priority);
        let priority_levels = priority_levels
            .max()
            .map_or(0, |last| last.saturating_add(1));
        RouteTable {
            priority_levels,
            lowest_priority,
            gap_range,
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

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Properties of engines.
    pub fn engines(&self) -> &[EngineSpec] {
        &self.engines
    }

    /// The services whose servers start slowly.
    pub fn slow_starts(&self) -> &[SlowStart] {
        &self.slow_starts
    }

    /// Limits for callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route with the longest prefix of `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_name(host).to_ascii_lowercase();
        let mut indices = self.hosts.get(&host)?.iter();
        let index = indices.find(|&&index| path.starts_with(&self.routes[index].prefix));
        index.map(|&index| &self.routes[index])
    }

    /// Rank of a request; 0 is the most urgent.
    ///
    /// Requests are ordered by the route's priority first, and by the account's among equals.
    /// Engines preempt by rank. When the account came first, live streams of one account were
    /// preempted while batch requests of a more urgent account kept running beside them, and a live
    /// stream must never be preempted for a lower tier.
    pub fn rank(&self, route: &Route, account: Option<&Account>) -> u8 {
        let own = account.and_then(|account| account.priority);
        // Accounts without a priority come last.
        let level = own.unwrap_or(self.priority_levels);
        let first = route
            .priority
            .saturating_mul(self.priority_levels.saturating_add(1));
        first.saturating_add(level)
    }

    /// The regions in which a request may run; `None` for any. Both the route's and the account's
    /// regions apply.
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
        route.repeat.is_stream() && route.priority >= self.lowest_priority
    }

    /// Whether the route's streams need by far the shortest pauses.
    ///
    /// Engines prefill prompts between the tokens of running streams, which causes pauses that most
    /// streams tolerate. Streams that don't are worth dedicated engines.
    pub fn is_live(&self, route: &Route) -> bool {
        let [min_gap, max_gap] = self.gap_range;
        let gap = route.gap.0;
        let tight = gap > 0 && gap * 100 <= min_gap.0 * LIVE_GAP_SPREAD_PERCENT;
        route.repeat.is_stream() && tight && min_gap.0 * LIVE_GAP_RATIO <= max_gap.0
    }

    /// The shortest pause that ends the use of a live stream of each service that has any.
    pub fn live_pauses(&self) -> HashMap<String, Millis> {
        let mut pauses = HashMap::new();
        for route in self.routes.iter().filter(|route| self.is_live(route)) {
            for share in route.shares.iter().filter(|share| share.weight > 0) {
                let pause = pauses.entry(share.service.clone()).or_insert(route.gap);
                *pause = route.gap.min(*pause);
            }
        }
        pauses
    }

    /// The longest time for which an attempt at a stream may last. Whether streams may be taken up may
    /// change while one runs.
    pub fn longest_stream(&self) -> Millis {
        let streams = self.routes.iter();
        let streams = streams.filter(|route| route.repeat.is_stream());
        let timeouts = streams.map(|route| route.timeout);
        timeouts.max().unwrap_or(Millis::ZERO)
    }

    /// Whether callers need an API key on routes that aren't public.
    pub fn requires_keys(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Name of the account with this hash of it.
    pub(crate) fn account_name(&self, hash: u32) -> Option<&str> {
        let mut names = self.accounts.iter().map(|account| account.name.as_str());
        names.find(|name| short_hash(name) == hash)
    }

    /// The account with the API key `key`.
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.keys.get(key).map(|&index| &self.accounts[index])
    }
}

/// The host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It accepts new requests.
    Ready,
    /// It is draining: it only finishes the requests that it has.
    Leaving,
}

/// Registry entry of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Name of the server. It may restart under the same name.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Version of its software. Several may serve at the same time.
    pub software: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub presence: Presence,
    /// Start time of its process by its own clock, in Unix milliseconds. A different time means a
    /// different process, which has an empty prompt cache. `None` if the entry doesn't contain it.
    pub started: Option<u64>,
    /// The models that it serves; empty for a plain service.
    pub models: Vec<String>,
    /// The fields that change with each heartbeat.
    pub heartbeat: Heartbeat,
}

impl ServerRecord {
    /// Version of the entry.
    pub fn version(&self) -> EntryVersion {
        EntryVersion {
            started: self.started,
            sequence: self.heartbeat.sequence,
        }
    }
}

/// Fields that a server updates with each entry that it writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Sequence number of the entry.
    pub sequence: u64,
    /// How much longer the server is cold.
    pub cold_remaining: Millis,
}
