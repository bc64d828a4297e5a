//! State shared by the tasks of an instance.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crocushold_base::Clock;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::Pseudonymizer;
use crocushold_http::Client;
use crocushold_http::EndedWaits;
use crocushold_http::ListenerHandle;
use crocushold_http::PoolLimits;
use crocushold_http::StopSignal;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::Quarantine;
use futures::future::Either;
use futures::future::select;
use log::info;
use twox_hash::XxHash3_64;

use crate::directory::Directory;
use crate::fleet::BrittleService;
use crate::fleet::Choice;
use crate::fleet::ColdPhase;
use crate::fleet::Fleet;
use crate::fleet::FleetSettings;
use crate::fleet::NoticeChange;
use crate::fleet::ServerDeparture;
use crate::fleet::ServerLimit;
use crate::instance::Settings;
use crate::instance::caller_limits;
use crate::metrics::Metrics;
use crate::placing::PlacementService;
use crate::placing::RequestEnd;
use crate::protocol::Notice;
use crate::protocol::Protocol;
use crate::reach::log_ejections;
use crate::relay::RelayPeers;
use crate::resumption::OriginService;
use crate::room::Room;
use crate::routes::RouteTable;
use crate::start::Start;
use crate::store_times::StoreTimes;
use crate::store_watch::StoreWatch;

/// Maximum number of idle connections to one server. A burst opens more, but they aren't worth
/// their memory afterwards.
const IDLE_CONNECTIONS: usize = 4;

/// Maximum number of idle connections in total.
const IDLE_TOTAL: usize = 64;

/// How long connections are kept idle. This is below the servers' own idle timeouts.
const IDLE_TIMEOUT: Millis = Millis::from_secs(2);

/// Interval of timers, such as those of unconfirmed entries and ejected servers.
pub(crate) const TIMER_INTERVAL: Millis = Millis(500);

/// Delay of a timer round from which the process counts as paused. An address isn't assigned again in so
/// short a time.
const PAUSE_THRESHOLD: Millis = Millis(500);

/// Time after a pause of the process in which it handles what has arrived meanwhile.
const RESUME_SPAN: Millis = Millis(500);

/// The stages of an instance's life cycle, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Stage {
    /// Before a shutdown.
    Serving,
    /// Readiness fails, but requests are still accepted.
    Draining,
    /// Requests in progress finish, and no new ones are accepted.
    Stopping,
}

/// State shared by the tasks of an instance.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) clock: Clock,
    pub(crate) seed: u64,
    pub(crate) client: Client,
    pub(crate) metrics: Metrics,
    pub(crate) content_names: Pseudonymizer,
    /// Room for requests in progress.
    pub(crate) room: Room,
    /// The client and server side of placement.
    pub(crate) placer: PlacementService,
    /// The origins of streams that callers may take up again.
    pub(crate) origins: OriginService,
    /// How far the store was read, and the watch in progress.
    pub(crate) store: StoreWatch,
    /// The progress of the start.
    pub(crate) start: Start,
    table: RwLock<Option<Arc<RouteTable>>>,
    fleet: Mutex<Fleet>,
    directory: Mutex<Directory>,
    quarantine: Mutex<Quarantine>,
    relays: Mutex<RelayPeers>,
    callers: Mutex<Option<ListenerHandle>>,
    last_confirmed: AtomicU64,
    /// When the call was made that the store answered last.
    last_asked: AtomicU64,
    /// When the timers last ran.
    ticked_at: AtomicU64,
    /// When this process last found that it had been paused; zero if it never did.
    resumed_at: AtomicU64,
    stage: AtomicU8,
    /// Set with the stage in which requests are refused.
    stopping: StopSignal,
    /// Set when the grace period is over for requests in progress.
    ending: StopSignal,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        room: Room,
        protocol: Arc<dyn Protocol>,
        seed: u64,
    ) -> Shared {
        let fleet = Fleet::new(FleetSettings {
            zone: settings.zone.clone(),
            regions: settings.region_keys(),
            alone: settings.peer.is_none(),
            seed,
            retry_ratio: settings.retry_ratio,
            retry_burst: settings.retry_burst,
        });
        let pool = PoolLimits {
            per_server: IDLE_CONNECTIONS,
            total: IDLE_TOTAL,
            idle_timeout: IDLE_TIMEOUT,
        };
        Shared {
            room,
            settings,
            protocol,
            clock: Clock::start(),
            seed,
            placer: PlacementService::new(seed as u32),
            origins: OriginService::default(),
            store: StoreWatch::default(),
            start: Start::default(),
            client: Client::new(pool),
            metrics: Metrics::new(),
            content_names: Pseudonymizer::default(),
            table: RwLock::new(None),
            fleet: Mutex::new(fleet),
            directory: Mutex::default(),
            quarantine: Mutex::default(),
            relays: Mutex::new(RelayPeers::new(seed)),
            callers: Mutex::new(None),
            last_confirmed: AtomicU64::new(0),
            last_asked: AtomicU64::new(0),
            ticked_at: AtomicU64::new(0),
            resumed_at: AtomicU64::new(0),
            stage: AtomicU8::new(Stage::Serving as u8),
            stopping: StopSignal::new(),
            ending: StopSignal::new(),
        }
    }

    /// The configuration in force; `None` before the first one was read.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        let table = self.table.read();
        table.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force.
    pub(crate) fn apply_config(&self, table: RouteTable) {
        self.metrics.set_config_version(table.version());
        let limits = caller_limits(&self.settings, &table.limits(), self.room.memory());
        if let Some(callers) = &*lock(&self.callers) {
            callers.set_limits(limits);
        }
        let mut fleet = self.fleet();
        fleet.set_engines(table.engines());
        fleet.set_live_pauses(table.live_pauses());
        fleet.set_slow_starts(table.slow_starts());
        drop(fleet);
        self.origins
            .record_span(table.longest_stream(), self.clock.now());
        let mut held = self.table.write().unwrap_or_else(PoisonError::into_inner);
        *held = Some(Arc::new(table));
        drop(held);
        self.start.record_configured(self.clock.now());
    }

    /// Sets the handle of the callers' listener, whose limits depend on the configuration.
    pub(crate) fn set_callers(&self, handle: ListenerHandle) {
        *lock(&self.callers) = Some(handle);
    }

    /// The number of callers' connections that were closed unread so far.
    pub(crate) fn turned_away(&self) -> u64 {
        let callers = lock(&self.callers);
        callers.as_ref().map_or(0, ListenerHandle::turned_away)
    }

    /// The numbers of waits for callers that were ended in favour of other callers so far.
    pub(crate) fn ended_waits(&self) -> EndedWaits {
        let callers = lock(&self.callers);
        let ended = callers.as_ref().map(ListenerHandle::ended_waits);
        ended.unwrap_or_default()
    }

    /// The backend servers. Every method leaves the fleet in a consistent state, so a poisoned lock
    /// can be used.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Records that the answer of an attempt has begun.
    pub(crate) fn first_byte(&self, choice: &Choice, load: Option<LoadReport>) {
        self.fleet().first_byte(choice, self.clock.now());
        self.placer.request_started(choice.placement_id, load);
    }

    /// Records that an attempt ended after `tokens` of an answer. `pause` is the longest pause of
    /// its stream.
    pub(crate) fn done(
        &self,
        choice: &Choice,
        outcome: Outcome,
        tokens: u32,
        pause: Option<Millis>,
    ) {
        let now = self.clock.now();
        let mut fleet = self.fleet();
        if let Some(longest) = pause {
            fleet.record_pause(choice, longest, now);
        }
        let told_outcome = fleet.told_outcome(choice, outcome);
        fleet.done(choice, outcome, tokens, now);
        let ejections = fleet.take_ejections();
        drop(fleet);
        log_ejections(ejections, "request");
        let ended = RequestEnd {
            result: told_outcome,
            tokens,
            pause,
        };
        self.placer.request_ended(choice.placement_id, ended);
    }

    /// Records what an answer says about the requests that its server accepts.
    pub(crate) fn record_notice(&self, choice: &Choice, notice: Notice, is_success: bool) {
        if notice.leaving {
            self.metrics.count_notice("leaving");
        }
        if notice.rest.is_some() {
            self.metrics.count_notice("rest");
        }
        let now = self.clock.now();
        let changes = self.fleet().record_notice(choice, notice, is_success, now);
        for change in changes {
            let subject = match change {
                NoticeChange::Brittle(_) => &choice.service,
                _ => &choice.id,
            };
            log_notice(subject, change, "answer");
        }
    }

    /// Logs the servers whose rest has ended.
    pub(crate) fn log_ended_rests(&self) {
        let ended = self.fleet().take_ended_rests(self.clock.now());
        for id in ended {
            info!("{}", Event::new("server-rested").with("server", id));
        }
    }

    /// Records the departures that another instance knows.
    pub(crate) fn record_remote_departures(&self, departed: &[ServerDeparture]) {
        let now = self.clock.now();
        let new = self.fleet().record_remote_departures(departed, now);
        for id in new {
            log_notice(&id, NoticeChange::Leaving, "instance");
        }
    }

    /// Takes over the earlier ends of cold phases that another instance knows. Returns those that end
    /// earlier than it believes.
    pub(crate) fn review_cold(&self, phases: &[ColdPhase]) -> Vec<ColdPhase> {
        let now = self.clock.now();
        let mut fleet = self.fleet();
        let review = fleet.review_cold(phases, now);
        for id in review.shortened {
            let until = fleet.cold_until(&id, now).unwrap_or(now);
            let event = Event::new("cold-phase-shortened")
                .with("server", id)
                .with("left-ms", until.since(now).0);
            info!("{event}");
        }
        review.earlier
    }

    /// Records the limits that another instance knows.
    pub(crate) fn record_remote_limits(&self, limits: &[ServerLimit]) {
        let mut fleet = self.fleet();
        for id in fleet.record_remote_limits(limits, self.clock.now()) {
            log_notice(&id, NoticeChange::Limit(fleet.limit_of(&id)), "instance");
        }
    }

    /// Records the brittle services that another instance knows.
    pub(crate) fn record_remote_brittle(&self, known: &[BrittleService]) {
        let mut fleet = self.fleet();
        for name in fleet.record_remote_brittle(known, self.clock.now()) {
            let rejections = fleet.brittleness_of(&name);
            log_notice(&name, NoticeChange::Brittle(rejections), "instance");
        }
    }

    /// Ends and logs the notices of brittle services that are over.
    pub(crate) fn expire_brittle(&self) {
        let ended = self.fleet().expire_brittle(self.clock.now());
        for name in ended {
            log_notice(&name, NoticeChange::Brittle(None), "time");
        }
    }

    /// The listed servers.
    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        lock(&self.directory)
    }

    /// Requests that are suspected of ending servers.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// The instances that requests may be relayed to.
    pub(crate) fn relays(&self) -> MutexGuard<'_, RelayPeers> {
        lock(&self.relays)
    }

    /// A number that spreads the callers of refused requests in time, by the request's ID.
    pub(crate) fn return_draw(&self, id: &str) -> u64 {
        XxHash3_64::oneshot_with_seed(self.seed, id.as_bytes())
    }

    /// Whether this process was paused a moment ago, so that what it learns now may be old.
    pub(crate) fn has_just_resumed(&self) -> bool {
        let resumed = Millis(self.resumed_at.load(Ordering::Relaxed));
        resumed > Millis::ZERO && self.clock.now().since(resumed) < RESUME_SPAN
    }

    /// Records that the store confirmed the known state at `now`, in an answer to a call at `asked`.
    pub(crate) fn record_confirmed(&self, asked: Millis, now: Millis) {
        self.last_asked.store(asked.0, Ordering::Relaxed);
        self.last_confirmed.store(now.0, Ordering::Relaxed);
    }

    /// Time since the store last confirmed the known state.
    pub(crate) fn knowledge_age(&self) -> Millis {
        let confirmed = Millis(self.last_confirmed.load(Ordering::Relaxed));
        self.clock.now().since(confirmed)
    }

    /// Records that the timers ran, and by how much they were late. After a pause of the process the store is asked anew.
    pub(crate) fn record_tick(&self, now: Millis, late: Millis) {
        self.ticked_at.store(now.0, Ordering::Relaxed);
        if late >= PAUSE_THRESHOLD {
            self.resumed_at.store(now.0, Ordering::Relaxed);
            self.store.cancel();
        }
    }

    /// Whether the store has answered a call that was made since the last pause of this process.
    pub(crate) fn has_asked_since_pause(&self) -> bool {
        let asked = self.last_asked.load(Ordering::Relaxed);
        asked >= self.resumed_at.load(Ordering::Relaxed)
    }

    /// Whether the store may hold changes that this instance should have read: it has no contact to the store, hears
    /// nothing from it, or hasn't asked it since it was paused. An answer that arrived during a pause may be as old as the
    /// pause.
    pub(crate) fn reads_late(&self) -> bool {
        let now = self.clock.now();
        let ticked = Millis(self.ticked_at.load(Ordering::Relaxed));
        !self.has_asked_since_pause()
            || now.since(ticked) >= TIMER_INTERVAL + PAUSE_THRESHOLD
            || self.knowledge_age() > StoreTimes::new(&self.settings).longest_silence()
            || self.directory().contact_age(now).is_none()
    }

    /// Enters the next stage of the life cycle.
    pub(crate) fn set_stage(&self, stage: Stage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
        if stage >= Stage::Stopping {
            self.stopping.stop();
        }
    }

    /// Whether a shutdown has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.stage.load(Ordering::Relaxed) >= Stage::Draining as u8
    }

    /// Whether a shutdown has reached the stage in which requests are refused.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stage.load(Ordering::Relaxed) >= Stage::Stopping as u8
    }

    /// Runs `work` until a shutdown reaches the stage in which requests are refused. Returns `None` if that comes first.
    pub(crate) fn unless_stopping<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> impl Future<Output = Option<T>> {
        until(&self.stopping, work)
    }

    /// Ends the requests whose answers haven't begun.
    pub(crate) fn end_requests(&self) {
        self.ending.stop();
    }

    /// Runs `work` until the grace period is over. Returns `None` if that comes first.
    pub(crate) fn unless_ending<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> impl Future<Output = Option<T>> {
        until(&self.ending, work)
    }

    /// Whether the instance accepts connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.table().is_some()
    }
}

/// Runs `work` until the signal is set. Returns `None` if that comes first.
///
/// The work is boxed, as an `async fn` would hold it once more in each caller's future.
fn until<T>(signal: &StopSignal, work: impl Future<Output = T>) -> impl Future<Output = Option<T>> {
    let work = Box::pin(work);
    async move {
        match select(work, pin!(signal.wait())).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    }
}

fn log_notice(id: &str, change: NoticeChange, source: &str) {
    let event = match change {
        NoticeChange::Leaving => Event::new("server-leaving")
            .with("server", id)
            .with("source", source),
        NoticeChange::Resting(span) => Event::new("server-resting")
            .with("server", id)
            .with("for", span),
        NoticeChange::Limit(limit) => {
            let limit = limit.map(|limit| limit.to_string());
            Event::new("server-limit")
                .with("server", id)
                .with("per-second", limit.as_deref().unwrap_or("none"))
                .with("source", source)
        }
        NoticeChange::Brittle(rejections) => {
            let rejections = rejections.map(|rejections| rejections.to_string());
            Event::new("service-brittle")
                .with("service", id)
                .with("rejections", rejections.as_deref().unwrap_or("any"))
                .with("source", source)
        }
    };
    info!("{event}");
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
