//! State shared by the tasks of an instance.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crocushold_base::Clock;
use crocushold_base::MemoryBudget;
use crocushold_base::Millis;
use crocushold_config::ConfigText;
use crocushold_config::Settings;
use crocushold_http::Client;
use crocushold_http::PoolLimits;
use crocushold_metrics::InstanceInfo;
use crocushold_metrics::Metrics;
use crocushold_metrics::status::InstanceState;
use crocushold_ownership::ClaimSettings;
use crocushold_ownership::Member;
use crocushold_peers::InstanceId;
use crocushold_peers::PeerHandle;
use crocushold_peers::View;
use crocushold_routing::EntryFleet;
use crocushold_routing::Share;
use twox_hash::XxHash3_64;

use crate::active_config::ActiveConfig;
use crate::active_config::Builder;
use crate::connections::Connections;
use crate::coordination::Coordinator;
use crate::memory::max_memory;

/// State of one team's part of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct PartInfo {
    pub(crate) team: String,
    pub(crate) published: u64,
    pub(crate) active: u64,
    pub(crate) findings: u64,
}

/// State shared by the tasks of an instance.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) client: Client,
    pub(crate) metrics: Metrics,
    pub(crate) coordinator: Arc<Coordinator>,
    /// Memory for heads and bodies of requests that are being read, queued or sent.
    pub(crate) memory: MemoryBudget,
    /// The connections of each client account.
    pub(crate) connections: Connections,
    pub(crate) seed: u64,
    builder: Builder,
    config: RwLock<Arc<ActiveConfig>>,
    parts: Mutex<Vec<PartInfo>>,
    peers: Mutex<Option<PeerHandle>>,
    draining: AtomicBool,
    next_id: AtomicU64,
}

impl Shared {
    /// Creates the state of a process that was started at `started`, in milliseconds since the Unix
    /// epoch.
    pub(crate) fn new(settings: Settings, started: u64, seed: u64) -> Shared {
        let clock = Clock::start();
        let me = Member::new(&settings.id, started);
        let claims = ClaimSettings {
            window: settings.claim_window,
            cold_start: if settings.first_start {
                Millis::ZERO
            } else {
                settings.claim_window
            },
            ..ClaimSettings::default()
        };
        let metrics = Metrics::new(&InstanceInfo {
            instance: settings.id.clone(),
            zone: settings.zone.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
        });
        metrics.set_memory_bound(max_memory(&settings, claims.capacity));
        let builder = Builder::new(clock, &settings, seed, metrics.clone());
        let client = Client::new(PoolLimits::default());
        Shared {
            clock,
            client: client.clone(),
            metrics,
            coordinator: Coordinator::new(clock, me, claims, client),
            memory: MemoryBudget::new(settings.memory),
            connections: Connections::new(settings.limits.connections_per_account),
            seed,
            builder,
            config: RwLock::new(Arc::new(ActiveConfig::default())),
            parts: Mutex::new(Vec::new()),
            peers: Mutex::new(None),
            draining: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            settings,
        }
    }

    /// The active configuration.
    pub(crate) fn config(&self) -> Arc<ActiveConfig> {
        let config = self.config.read();
        config.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The parts of the configuration.
    pub(crate) fn parts(&self) -> Vec<PartInfo> {
        let parts = self.parts.lock();
        parts.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The peer node, once it runs.
    pub(crate) fn peers(&self) -> Option<PeerHandle> {
        let peers = self.peers.lock();
        peers.unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_peers(&self, handle: PeerHandle) {
        *self.peers.lock().unwrap_or_else(PoisonError::into_inner) = Some(handle);
    }

    /// Activates a configuration. Returns false if the active one is newer.
    ///
    /// The peer node provides revisions in ascending order, and an equal revision with more parts.
    /// An older one comes from a notice that was processed late, and activating it would revert a
    /// change.
    pub(crate) fn activate(&self, text: &ConfigText, revision: u64, parts: Vec<PartInfo>) -> bool {
        let previous = self.config();
        if revision < previous.revision {
            return false;
        }
        let next = Arc::new(self.builder.build(&previous, text, revision));
        // Before the configuration is replaced, since requests under it need the limits of its
        // accounts.
        self.coordinator.limits().configure(&next.catalog);
        self.coordinator.orders().configure(&next.catalog, revision);
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = next;
        *self.parts.lock().unwrap_or_else(PoisonError::into_inner) = parts;
        true
    }

    /// Updates this instance's share of what all instances share, from the live view.
    pub(crate) fn on_view(&self, view: &View) {
        self.metrics.set_peers(view.live().saturating_sub(1));
        let instances = u32::try_from(view.live().max(1)).unwrap_or(u32::MAX);
        let index = view.index().and_then(|index| u32::try_from(index).ok());
        let share = Share {
            instances,
            index: index.unwrap_or(0),
        };
        let identity = |id: &InstanceId| XxHash3_64::oneshot(id.as_str().as_bytes());
        let live = view.instances.iter();
        let fleet = EntryFleet {
            instances: live.map(|instance| identity(&instance.id)).collect(),
            local_id: identity(&view.me),
            share,
        };
        self.coordinator.on_view(view);
        self.builder.set_fleet(&fleet);
        self.config().set_fleet(&fleet);
    }

    /// The lifecycle state of the instance.
    pub(crate) fn state(&self) -> InstanceState {
        if self.draining.load(Ordering::Relaxed) {
            InstanceState::Draining
        } else if self.config().revision == 0 {
            InstanceState::Starting
        } else {
            InstanceState::Serving
        }
    }

    /// Starts a graceful shutdown.
    pub(crate) fn start_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns a request id that is unique within this process.
    pub(crate) fn request_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.id, self.seed as u32)
    }
}
