//! One running gateway: its listeners, its tasks, and its planned stop.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_std::future::timeout;
use async_std::task;
use async_std::task::JoinHandle;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_http::Listener;
use crocushold_http::ListenerHandle;
use crocushold_http::ListenerLimits;
use crocushold_http::ServerLimits;
use crocushold_routing::RegionKey;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use log::info;
use log::warn;
use quick_error::quick_error;
use twox_hash::XxHash3_64;

use crate::callers;
use crate::fleet::LaneAllocation;
use crate::follow;
use crate::gossip::share;
use crate::protocol::Protocol;
use crate::quarantine;
use crate::routes::CallerLimits;
use crate::shared::Shared;
use crate::shared::Stage;
use crate::source::Source;

/// Connections of balancers, scrapers and operators at a time.
const OPERATOR_CONNECTIONS: usize = 64;

/// Between two rounds of timers: entries in doubt, servers that are out.
const TICK: Millis = Millis(500);

/// Delay from which a round of timers is reported as late. Requests that arrived meanwhile may have waited as long.
const LATE_THRESHOLD: Millis = Millis(250);

/// File descriptors that a caller's connection takes at most: its own, and the one to a server.
const DESCRIPTORS_EACH: usize = 2;

quick_error! {
    /// Why a gateway could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be listened on.
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
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness: SocketAddr,
    /// Where the operator connects, if anywhere.
    pub operators: Option<SocketAddr>,
    /// Where other instances tell this one what they have waiting, if anywhere.
    pub peer: Option<SocketAddr>,
    /// Where some of the other instances listen.
    pub seeds: Vec<SocketAddr>,
    /// The processor time that the machine gives, in percent of a core.
    pub capacity: u16,
    /// The memory of the machine, in bytes.
    pub memory: u64,
    /// How long an instance counts as out of touch after a fault of its connections.
    pub stable_window: Millis,
    /// Within which time a change of the configuration must be in force.
    pub apply_bound: Millis,
    /// Within which time a server that is leaving must get nothing more.
    pub drain_bound: Millis,
    /// File descriptors that sockets may take.
    pub descriptors: usize,
    /// From the signal that asks for a planned stop to the moment at which the process is killed.
    pub grace: Millis,
    /// How long connections are accepted after that signal: until the balancer has noticed.
    pub notice: Millis,
    /// Repeats allowed for each request over all instances.
    pub retry_ratio: f64,
    /// Repeats beside the ratio that this instance may save up. The number is meant for all instances
    /// together, and none knows how many there are: two each stay inside 52 up to 26 instances, and
    /// inside 200 for a hundred.
    pub retry_burst: f64,
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
            grace: Millis::from_secs(8),
            notice: Millis::from_secs(3),
            retry_ratio: 0.1,
            retry_burst: 2.0,
        }
    }
}

/// The part of a machine's memory that bodies may fill, as a divisor. Connections and their buffers take
/// up to as much again.
const BODY_PART: u64 = 3;

/// The part of the stable window that a watch doesn't wait, so that a connection that went silent is
/// noticed inside it: the answer's own timeout, and a new connection.
const SILENCE_MARGIN: Millis = Millis(600);

/// The shortest wait of a watch: below, watching would be polling.
const LEAST_WATCH: Millis = Millis(1000);

/// The part of the time in which a change must be in force, or a leaving server left alone, that the
/// store isn't watched after changes, as a divisor. The rest is for a call that fails once and its repeat, and
/// for requests that are on their way.
const GATHER_PART: u64 = 3;

impl Settings {
    /// The region of each availability zone, by its key.
    pub(crate) fn region_keys(&self) -> HashMap<String, RegionKey> {
        let regions = self.regions.iter();
        let keys = regions.map(|(zone, region)| (zone.clone(), RegionKey::new(region)));
        keys.collect()
    }

    /// Bytes that the bodies of requests may hold together until their answers begin.
    pub(crate) fn body_memory(&self) -> u64 {
        self.memory / BODY_PART
    }

    /// The longest wait of a watch.
    pub(crate) fn watch_wait(&self) -> Millis {
        self.stable_window.since(SILENCE_MARGIN).max(LEAST_WATCH)
    }

    /// The pause between two watches after changes.
    pub(crate) fn gather(&self) -> Millis {
        Millis(self.apply_bound.min(self.drain_bound).0 / GATHER_PART)
    }
}

/// What a planned stop leaves of the grace for the process to end by itself.
const EXIT_MARGIN: Millis = Millis(400);

/// A running gateway.
pub struct Gateway {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness: SocketAddr,
    /// Where the operator connects.
    pub operators: Option<SocketAddr>,
    handle: ListenerHandle,
    serving: JoinHandle<()>,
    shared: Arc<Shared>,
}

impl Gateway {
    /// Binds the listeners and starts serving.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on.
    pub async fn start(
        settings: Settings,
        protocol: Arc<dyn Protocol>,
        source: impl Source,
    ) -> Result<Gateway, StartError> {
        let seed = wall_clock() ^ XxHash3_64::oneshot(settings.id.as_bytes());
        let limits = caller_limits(&settings, &CallerLimits::default());
        let (callers, callers_at) = bind(settings.callers, limits).await?;
        let (readiness, readiness_at) = bind(settings.readiness, operator_limits()).await?;
        let operators = match settings.operators {
            Some(address) => Some(bind(address, operator_limits()).await?),
            None => None,
        };
        let shared = Arc::new(Shared::new(settings, protocol, seed));
        let handle = callers.handle();
        shared.set_callers(handle.clone());
        let operators_at = operators.as_ref().map(|(_, address)| *address);
        let serving = spawn_callers(callers, &shared);
        spawn_readiness(readiness, &shared);
        if let Some((listener, _)) = operators {
            spawn_operators(listener, &shared);
        }
        if let Some(address) = shared.settings.peer {
            let shared_load = share(&shared, address, &shared.settings.seeds).await;
            shared_load.map_err(|cause| StartError::Bind(address, cause))?;
        }
        task::spawn(follow::follow(shared.clone(), source));
        task::spawn(run_timers(shared.clone()));
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
            shared,
        })
    }

    /// Stops gracefully: readiness fails first, connections are accepted until the balancer has
    /// noticed, then requests in progress end by themselves as far as the grace allows.
    ///
    /// Returns the number of connections that were still open at the end.
    pub async fn stop(self) -> usize {
        let settings = &self.shared.settings;
        self.shared.enter(Stage::Draining);
        let running = self.handle.connections();
        info!(
            "{}",
            Event::new("stop-started").with("connections", running)
        );
        // Half of a short grace is left for what runs: what is taken must have time to end.
        let notice = settings.notice.min(Millis(settings.grace.0 / 2));
        task::sleep(notice.into()).await;
        self.shared.enter(Stage::Stopping);
        self.handle.stop();
        let rest = settings.grace.since(notice + EXIT_MARGIN);
        let ended = timeout(rest.into(), self.serving).await;
        let open = match ended {
            Ok(()) => 0,
            Err(_) => self.handle.connections(),
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

/// Bounds on callers' connections, with the limits of a configuration.
pub(crate) fn caller_limits(settings: &Settings, limits: &CallerLimits) -> ListenerLimits {
    ListenerLimits {
        max_connections: (settings.descriptors / DESCRIPTORS_EACH).max(1),
        server: ServerLimits {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
            ..ServerLimits::default()
        },
        ..ListenerLimits::default()
    }
}

fn operator_limits() -> ListenerLimits {
    ListenerLimits {
        max_connections: OPERATOR_CONNECTIONS,
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

fn spawn_callers(listener: Listener, shared: &Arc<Shared>) -> JoinHandle<()> {
    let shared = shared.clone();
    task::spawn(
        listener.run(move |request, hangup| callers::answer(shared.clone(), request, hangup)),
    )
}

fn spawn_readiness(listener: Listener, shared: &Arc<Shared>) {
    let shared = shared.clone();
    task::spawn(listener.run(move |request: Request, _| {
        let known = request.url().path() == shared.protocol.readiness_path();
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
            if request.url().path() != "/metrics" {
                return Response::new(StatusCode::NotFound);
            }
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(shared.report.text());
            response
        }
    }));
}

async fn run_timers(shared: Arc<Shared>) {
    loop {
        let due = shared.clock.now() + TICK;
        task::sleep(TICK.into()).await;
        log_late_timers(&shared, due);
        follow::expire(&shared);
        quarantine::expire(&shared);
        let now = shared.clock.now();
        shared.placing.expire(&mut shared.fleet(), now);
        let moved = shared.fleet().tick(now);
        for allocation in moved {
            log_lane_allocation(&allocation);
        }
    }
}

/// Reports a round of timers that ran late, as when the process was paused or short of processor time.
fn log_late_timers(shared: &Shared, due: Millis) {
    let late = shared.clock.now().since(due);
    if late >= LATE_THRESHOLD {
        shared.report.late_timers();
        warn!("{}", Event::new("process-late").with("by", late));
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
        .with("strained", stats.strained as u64);
    info!("{event}");
}

/// Milliseconds since 1970; a seed only, so a clock that is wrong does no harm.
fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}
