//! A running gateway: its listeners, its tasks and its graceful shutdown.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_std::future::timeout;
use async_std::task;
use async_std::task::JoinHandle;
use crocushold_base::Event;
use crocushold_base::MemoryBudget;
use crocushold_base::Millis;
use crocushold_http::EndedWaits;
use crocushold_http::Listener;
use crocushold_http::ListenerHandle;
use crocushold_http::ListenerLimits;
use crocushold_http::OverloadPolicy;
use crocushold_http::ServerLimits;
use crocushold_http::WaitLimits;
use crocushold_http::request_path;
use crocushold_routing::RegionKey;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use log::info;
use log::warn;
use quick_error::quick_error;
use twox_hash::XxHash3_64;

use crate::callers;
use crate::cold_check;
use crate::fleet::LaneAllocation;
use crate::follow;
use crate::line_report::report_line;
use crate::protocol::Protocol;
use crate::quarantine;
use crate::reach;
use crate::relay::start_relay;
use crate::room::Room;
use crate::room::ServiceLimit;
use crate::routes::CallerLimits;
use crate::shared::Shared;
use crate::shared::Stage;
use crate::shared::TIMER_INTERVAL;
use crate::sharing::start_gossip;
use crate::source::Source;
use crate::start::StartStep;

/// Maximum number of connections of load balancers, metrics scrapers and operators.
const OPERATOR_CONNECTIONS: usize = 64;

/// How many times as long as usual work takes at least on a server that is counted as slow at this
/// moment.
const SLOW_FACTOR: f64 = 1.5;

/// Delay from which a timer round is reported as late. Requests that arrived meanwhile may have
/// waited as long.
const LATE_THRESHOLD: Millis = Millis(250);

/// Maximum number of file descriptors for each caller connection: its own, and the one to a server.
const DESCRIPTORS_PER_CALLER: usize = 2;

/// File descriptors of other connections: idle ones to servers, those of callers that are about to close, listeners, and
/// those to the store and to other instances.
const OTHER_DESCRIPTORS: usize = 200;

quick_error! {
    /// Why a gateway could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// The address can't be bound.
        Bind(address: SocketAddr, cause: io::Error) {
            display("can't listen on {address}: {cause}")
            source(cause)
        }
    }
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub id: String,
    /// Its availability zone.
    pub zone: String,
    /// The region of each availability zone.
    pub regions: HashMap<String, String>,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint for the load balancer.
    pub readiness: SocketAddr,
    /// Address of the listener for operators, if any.
    pub operators: Option<SocketAddr>,
    /// Address on which gossip from other instances is received, if any.
    pub peer: Option<SocketAddr>,
    /// Gossip addresses of some of the other instances.
    pub seeds: Vec<SocketAddr>,
    /// CPU time available to the process, in percent of a core.
    pub capacity: u16,
    /// Memory of the machine, in bytes.
    pub memory: u64,
    /// How long an instance counts as out of touch after a failure of its connections.
    pub stable_window: Millis,
    /// Maximum time until a configuration change is in force.
    pub apply_bound: Millis,
    /// Maximum time during which a draining server may still get new requests.
    pub drain_bound: Millis,
    /// Number of file descriptors available for sockets.
    pub descriptors: usize,
    /// When a caller that is waited for may be let go in favour of others.
    pub wait: WaitLimits,
    /// Part of the callers' connections, and of the memory for requests, that the requests in progress of one service
    /// may hold, in percent.
    pub service_percent: u16,
    /// Time from the shutdown signal until the process is killed.
    pub grace: Millis,
    /// How long connections are still accepted after the shutdown signal, until the load balancer
    /// has noticed.
    pub notice: Millis,
    /// Ratio of retries to requests, over all instances.
    pub retry_ratio: f64,
    /// Retries beyond the ratio that this instance may accumulate. The bound applies to all
    /// instances together, but no instance knows their number: with 2 each, up to 26 instances stay
    /// within 52, and a hundred within 200.
    pub retry_burst: f64,
    /// Whether requests for engines of published capacity wait in one line, at the placer, while no
    /// engine can begin them soon.
    pub waiting_line: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            id: "gateway".to_owned(),
            zone: String::new(),
            regions: HashMap::new(),
            callers: any,
            readiness: any,
            operators: None,
            peer: None,
            seeds: Vec::new(),
            capacity: 100,
            memory: 96 * 1024 * 1024,
            stable_window: Millis(3000),
            apply_bound: Millis(2000),
            drain_bound: Millis(2000),
            descriptors: 4096,
            wait: WaitLimits::default(),
            service_percent: 75,
            grace: Millis::from_secs(8),
            notice: Millis::from_secs(3),
            retry_ratio: 0.1,
            retry_burst: 2.0,
            waiting_line: false,
        }
    }
}

/// Divisor of the machine's memory that gives the limit for request bodies.
const BODY_MEMORY_DIVISOR: u64 = 3;

/// Memory of the process without callers, in bytes: the program, the configuration and the state of the fleet.
const OWN_MEMORY: u64 = 24 * 1024 * 1024;

/// Memory of a connection without a request, in bytes.
const IDLE_CONNECTION_BYTES: u64 = 4 * 1024;

impl Settings {
    /// The key of each availability zone's region.
    pub(crate) fn region_keys(&self) -> HashMap<String, RegionKey> {
        let regions = self.regions.iter();
        let keys = regions.map(|(zone, region)| (zone.clone(), RegionKey::new(region)));
        keys.collect()
    }

    /// The most memory that callers may make the process hold, in bytes.
    pub(crate) fn caller_memory(&self) -> u64 {
        self.memory - OWN_MEMORY.min(self.memory / 2)
    }

    /// The part of it for requests in progress, in bytes.
    pub(crate) fn request_memory(&self) -> u64 {
        let idle = self.max_connections() as u64 * IDLE_CONNECTION_BYTES;
        self.caller_memory().saturating_sub(idle)
    }

    /// Maximum number of callers' connections. Without a request they take half of the callers' memory at most.
    pub(crate) fn max_connections(&self) -> usize {
        let by_memory = self.caller_memory() / 2 / IDLE_CONNECTION_BYTES;
        let descriptors = self.descriptors.saturating_sub(OTHER_DESCRIPTORS);
        let by_descriptors = descriptors / DESCRIPTORS_PER_CALLER;
        by_descriptors.min(by_memory as usize).max(1)
    }

    /// What the requests in progress of one service may hold.
    pub(crate) fn service_limit(&self) -> ServiceLimit {
        let percent = usize::from(self.service_percent);
        ServiceLimit {
            connections: (self.max_connections() * percent / 100).max(1),
            memory: self.request_memory() * percent as u64 / 100,
        }
    }

    /// Limit on the total size of request bodies held until their answers begin, in bytes.
    pub(crate) fn body_memory(&self) -> u64 {
        self.memory / BODY_MEMORY_DIVISOR
    }
}

/// Part of the grace period that is left at most for the last answers and for the process to exit, and its part of a
/// short grace period. What is cut must still run in the last sixth of it.
const EXIT_MARGIN: Millis = Millis(400);
const EXIT_DIVISOR: u64 = 8;

/// A running gateway.
pub struct Gateway {
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness: SocketAddr,
    /// Address of the listener for operators, if any.
    pub operators: Option<SocketAddr>,
    handle: ListenerHandle,
    serving: JoinHandle<()>,
    /// The listener for requests that other instances relay, if there is one.
    relay: Option<(ListenerHandle, JoinHandle<()>)>,
    shared: Arc<Shared>,
}

impl Gateway {
    /// Binds the listeners and starts serving.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn start(
        settings: Settings,
        protocol: Arc<dyn Protocol>,
        source: impl Source,
    ) -> Result<Gateway, StartError> {
        let seed = wall_clock() ^ XxHash3_64::oneshot(settings.id.as_bytes());
        let room = Room::new(&settings);
        let limits = caller_limits(&settings, &CallerLimits::default(), room.memory());
        let max_callers = limits.max_connections;
        let (callers, callers_at) = bind(settings.callers, limits).await?;
        let (readiness, readiness_at) = bind(settings.readiness, operator_limits()).await?;
        let operators = match settings.operators {
            Some(address) => Some(bind(address, operator_limits()).await?),
            None => None,
        };
        let shared = Arc::new(Shared::new(settings, room, protocol, seed));
        let bound = shared.settings.caller_memory();
        shared.metrics.set_memory_bound(bound);
        let handle = callers.handle();
        shared.set_callers(handle.clone());
        let operators_at = operators.as_ref().map(|(_, address)| *address);
        let serving = spawn_callers(callers, &shared);
        spawn_readiness(readiness, &shared);
        if let Some((listener, _)) = operators {
            spawn_operators(listener, &shared);
        }
        let relay = match shared.settings.peer {
            Some(address) => {
                let started = start_peering(&shared, address, max_callers).await;
                Some(started.map_err(|cause| StartError::Bind(address, cause))?)
            }
            None => None,
        };
        task::spawn(follow::follow(shared.clone(), source));
        task::spawn(run_timers(shared.clone()));
        shared
            .start
            .record(StartStep::Listening, shared.clock.now());
        let event = Event::new("started")
            .with("instance", &shared.settings.id)
            .with("zone", &shared.settings.zone)
            .with("callers", callers_at)
            .with("readiness", readiness_at);
        info!("{event}");
        Ok(Gateway {
            callers: callers_at,
            readiness: readiness_at,
            operators: operators_at,
            handle,
            serving,
            relay,
            shared,
        })
    }

    /// Shuts down gracefully: readiness fails first, connections are accepted until the load
    /// balancer has noticed, then requests in progress finish as far as the grace period allows.
    /// Those whose answers haven't begun by then get one that promises nothing.
    ///
    /// Returns the number of connections that were still open at the end.
    pub async fn stop(self) -> usize {
        let settings = &self.shared.settings;
        let clock = &self.shared.clock;
        let begun = clock.now();
        self.shared.set_stage(Stage::Draining);
        let running = self.handle.connections();
        info!(
            "{}",
            Event::new("stop-started").with("connections", running)
        );
        // Reserve half of a short grace period for requests in progress, so that accepted requests
        // can finish.
        let notice = settings.notice.min(Millis(settings.grace.0 / 2));
        task::sleep(notice.into()).await;
        self.shared.set_stage(Stage::Stopping);
        self.handle.stop();
        let (relay, relaying) = self.relay.unzip();
        if let Some(relay) = &relay {
            relay.stop();
        }
        let margin = EXIT_MARGIN.min(Millis(settings.grace.0 / EXIT_DIVISOR));
        let end = begun + settings.grace.since(margin);
        let mut serving = pin!(async {
            self.serving.await;
            if let Some(relaying) = relaying {
                relaying.await;
            }
        });
        let rest = end.since(clock.now());
        let mut ended = timeout(rest.into(), serving.as_mut()).await;
        if ended.is_err() {
            self.shared.end_requests();
            ended = timeout(Millis(margin.0 / 2).into(), serving).await;
        }
        let open = match ended {
            Ok(()) => 0,
            Err(_) => {
                let relayed = relay.map_or(0, |relay| relay.connections());
                self.handle.connections() + relayed
            }
        };
        let event = Event::new("stopped").with("open", open);
        if open > 0 {
            warn!("{event}");
        } else {
            info!("{event}");
        }
        open
    }
}

/// Limits on caller connections under a configuration.
pub(crate) fn caller_limits(
    settings: &Settings,
    limits: &CallerLimits,
    memory: &MemoryBudget,
) -> ListenerLimits {
    ListenerLimits {
        max_connections: settings.max_connections(),
        overload: OverloadPolicy::CloseUnread,
        server: ServerLimits {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
            wait: settings.wait,
            head_memory: Some(memory.clone()),
            ..ServerLimits::default()
        },
        ..ListenerLimits::default()
    }
}

fn operator_limits() -> ListenerLimits {
    ListenerLimits {
        max_connections: OPERATOR_CONNECTIONS,
        server: ServerLimits {
            wait: WaitLimits::PROMPT,
            ..ServerLimits::default()
        },
        ..ListenerLimits::default()
    }
}

async fn bind(
    address: SocketAddr,
    limits: ListenerLimits,
) -> Result<(Listener, SocketAddr), StartError> {
    let refused = |cause| StartError::Bind(address, cause);
    let listener = Listener::bind(address, limits).await.map_err(refused)?;
    let bound = listener.local_addr().map_err(refused)?;
    Ok((listener, bound))
}

/// Starts gossip and accepts relayed requests, at the same address.
async fn start_peering(
    shared: &Arc<Shared>,
    address: SocketAddr,
    max_callers: usize,
) -> io::Result<(ListenerHandle, JoinHandle<()>)> {
    let bound = start_gossip(shared, address, &shared.settings.seeds).await?;
    start_relay(shared, bound, max_callers).await
}

fn spawn_callers(listener: Listener, shared: &Arc<Shared>) -> JoinHandle<()> {
    let shared = shared.clone();
    task::spawn(
        listener.run(move |request, hangup| callers::answer(shared.clone(), request, hangup)),
    )
}

fn spawn_readiness(listener: Listener, shared: &Arc<Shared>) {
    let shared = shared.clone();
    task::spawn(listener.run(move |request: Request, _| {
        let known = request_path(&request) == shared.protocol.readiness_path();
        let status = match (known, shared.is_ready()) {
            (false, _) => StatusCode::NotFound,
            (true, true) => StatusCode::Ok,
            (true, false) => StatusCode::ServiceUnavailable,
        };
        async move { Response::new(status) }
    }));
}

fn spawn_operators(listener: Listener, shared: &Arc<Shared>) {
    let shared = shared.clone();
    task::spawn(listener.run(move |request: Request, _| {
        let shared = shared.clone();
        async move {
            let text = match request_path(&request) {
                "/metrics" => {
                    let now = shared.clock.now();
                    let slow = shared.fleet().slow_count(SLOW_FACTOR, now);
                    shared.metrics.set_slow_servers(slow);
                    shared.metrics.encode()
                }
                "/servers" => reach::page(&shared.fleet(), shared.clock.now()),
                _ => return Response::new(StatusCode::NotFound),
            };
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(text);
            response
        }
    }));
}

async fn run_timers(shared: Arc<Shared>) {
    let mut turned_away = 0;
    let mut ended_waits = EndedWaits::default();
    loop {
        let due = shared.clock.now() + TIMER_INTERVAL;
        task::sleep(TIMER_INTERVAL.into()).await;
        log_late_timers(&shared, due);
        follow::expire(&shared);
        quarantine::expire(&shared);
        reach::probe(&shared);
        cold_check::start(&shared);
        shared.log_ended_rests();
        shared.expire_brittle();
        let now = shared.clock.now();
        shared.placer.expire(&mut shared.fleet(), now);
        report_line(&shared, now);
        shared.metrics.set_known_streams(shared.origins.expire(now));
        log_turned_away(&shared, &mut turned_away);
        log_ended_waits(&shared, &mut ended_waits);
        let moved = shared.fleet().tick(now);
        for allocation in moved {
            log_lane_allocation(&allocation);
        }
    }
}

/// Reports a timer round that ran late because the process was paused or short of CPU time.
fn log_late_timers(shared: &Shared, due: Millis) {
    let now = shared.clock.now();
    let late = now.since(due);
    shared.record_tick(now, late);
    if late >= LATE_THRESHOLD {
        shared.metrics.count_late_timers();
        warn!("{}", Event::new("process-late").with("by", late));
    }
}

/// Reports waits for callers that were ended in favour of others since the last call; `reported` are those before.
fn log_ended_waits(shared: &Shared, reported: &mut EndedWaits) {
    let total = shared.ended_waits();
    let ended = total.since(*reported);
    *reported = total;
    if ended == EndedWaits::default() {
        return;
    }
    let mut event = Event::new("waits-ended");
    for (awaited, count) in ended.by_label() {
        shared.metrics.count_ended_waits(awaited, count);
        event = event.with(awaited, count);
    }
    warn!("{event}");
}

/// Reports connections that were closed unread since the last call, of which `reported` were reported before.
fn log_turned_away(shared: &Shared, reported: &mut u64) {
    let total = shared.turned_away();
    let count = total.saturating_sub(*reported);
    if count > 0 {
        *reported = total;
        shared.metrics.count_turned_away(count);
        warn!(
            "{}",
            Event::new("connections-turned-away").with("count", count)
        );
    }
}

fn log_lane_allocation(allocation: &LaneAllocation) {
    let [live, light, heavy] = allocation.engines;
    let stats = &allocation.stats;
    let [live_work, light_work, heavy_work] = stats.work;
    let event = Event::new("lanes-moved")
        .with("service", &allocation.service)
        .with("live", live)
        .with("light", light)
        .with("heavy", heavy)
        .with("speed", format!("{:.1}", allocation.speed))
        .with("live-work", live_work as u64)
        .with("light-work", light_work as u64)
        .with("heavy-work", heavy_work as u64)
        .with("streams", stats.streams as u64)
        .with("strained", stats.slow_streams as u64)
        .with("live-span", allocation.live_span as u64);
    info!("{event}");
}

/// Milliseconds since 1970. Used only as a seed, so a wrong clock does no harm.
fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}
