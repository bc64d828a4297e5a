//! What the tasks of an instance share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crocushold_base::Clock;
use crocushold_base::KeyedNames;
use crocushold_base::Memory;
use crocushold_base::Millis;
use crocushold_http::Client;
use crocushold_http::ListenerHandle;
use crocushold_http::PoolLimits;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::Quarantine;

use crate::directory::Directory;
use crate::fleet::Choice;
use crate::fleet::Fleet;
use crate::fleet::FleetSettings;
use crate::instance::Settings;
use crate::instance::caller_limits;
use crate::metrics::Report;
use crate::placement::Placing;
use crate::placement::RequestEnd;
use crate::protocol::Protocol;
use crate::routes::RouteTable;
use crate::store_watch::StoreWatch;

/// Idle connections kept to one server. A burst opens more; they aren't worth their memory after it.
const IDLE_CONNECTIONS: usize = 4;

/// Idle connections kept in all.
const IDLE_TOTAL: usize = 64;

/// How long a connection is kept idle: below the timeouts of servers.
const IDLE_TIMEOUT: Millis = Millis::from_secs(2);

/// The stages of an instance's life, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Stage {
    /// Before a planned stop.
    Serving,
    /// Not ready, but what still comes is served.
    Draining,
    /// What is in progress ends; nothing is taken.
    Stopping,
}

/// What the tasks of an instance share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) clock: Clock,
    pub(crate) seed: u64,
    pub(crate) client: Client,
    pub(crate) report: Report,
    pub(crate) content_names: KeyedNames,
    /// Bodies of requests that are read or wait for an answer to begin.
    pub(crate) memory: Memory,
    /// Where requests go by the word of the instance that places for all.
    pub(crate) placing: Placing,
    /// How far the store was read, and whether others have read further.
    pub(crate) store: StoreWatch,
    table: RwLock<Option<Arc<RouteTable>>>,
    fleet: Mutex<Fleet>,
    directory: Mutex<Directory>,
    quarantine: Mutex<Quarantine>,
    callers: Mutex<Option<ListenerHandle>>,
    confirmed: AtomicU64,
    stage: AtomicU8,
}

impl Shared {
    pub(crate) fn new(settings: Settings, protocol: Arc<dyn Protocol>, seed: u64) -> Shared {
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
            memory: Memory::new(settings.body_memory()),
            settings,
            protocol,
            clock: Clock::start(),
            seed,
            placing: Placing::new(seed as u32),
            store: StoreWatch::default(),
            client: Client::new(pool),
            report: Report::new(),
            content_names: KeyedNames::default(),
            table: RwLock::new(None),
            fleet: Mutex::new(fleet),
            directory: Mutex::default(),
            quarantine: Mutex::default(),
            callers: Mutex::new(None),
            confirmed: AtomicU64::new(0),
            stage: AtomicU8::new(Stage::Serving as u8),
        }
    }

    /// The configuration in force; none before the first was read.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        let table = self.table.read();
        table.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force.
    pub(crate) fn put_in_force(&self, table: RouteTable) {
        self.report.configured(table.version());
        let limits = caller_limits(&self.settings, &table.limits());
        if let Some(callers) = &*lock(&self.callers) {
            callers.set_limits(limits);
        }
        let mut fleet = self.fleet();
        fleet.set_engines(table.engines());
        fleet.set_slow_starts(table.slow_starts());
        drop(fleet);
        let mut held = self.table.write().unwrap_or_else(PoisonError::into_inner);
        *held = Some(Arc::new(table));
    }

    /// Gives the handle of the callers' listener, whose bounds come with the configuration.
    pub(crate) fn set_callers(&self, handle: ListenerHandle) {
        *lock(&self.callers) = Some(handle);
    }

    /// The backend servers. Each call leaves them whole, so a panic elsewhere while the lock was held
    /// doesn't make them unusable.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// The answer of an attempt has begun.
    pub(crate) fn first_byte(&self, choice: &Choice, load: Option<LoadReport>) {
        self.fleet().first_byte(choice, self.clock.now());
        self.placing.began(choice.ticket, load);
    }

    /// An attempt ended after `tokens` of an answer; `pause` is the longest one of its stream.
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
            fleet.paused(choice, longest, now);
        }
        fleet.done(choice, outcome, tokens, now);
        drop(fleet);
        let ended = RequestEnd {
            outcome: outcome,
            tokens,
            pause,
        };
        self.placing.ended(choice.ticket, ended);
    }

    /// The entries of the registry.
    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        lock(&self.directory)
    }

    /// The requests under which servers ended.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// The store answered: what is known was confirmed at that moment.
    pub(crate) fn confirmed(&self, now: Millis) {
        self.confirmed.store(now.0, Ordering::Relaxed);
    }

    /// How long ago the store last confirmed what is known.
    pub(crate) fn knowledge_age(&self) -> Millis {
        let confirmed = Millis(self.confirmed.load(Ordering::Relaxed));
        self.clock.now().since(confirmed)
    }

    /// Goes on to the next stage of the instance's life.
    pub(crate) fn enter(&self, stage: Stage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.stage.load(Ordering::Relaxed) >= Stage::Draining as u8
    }

    /// Whether a planned stop has come so far that requests are no longer taken.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stage.load(Ordering::Relaxed) >= Stage::Stopping as u8
    }

    /// Whether the instance takes connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.table().is_some()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
