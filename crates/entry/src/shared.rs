//! What the tasks of an instance share.

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

use crate::connections::Connections;
use crate::coordination::Coordinator;
use crate::memory::most_held;
use crate::world::Builder;
use crate::world::World;

/// What is known of one team's part of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct PartInfo {
    pub(crate) team: String,
    pub(crate) published: u64,
    pub(crate) in_force: u64,
    pub(crate) findings: u64,
}

/// What the tasks of an instance share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) client: Client,
    pub(crate) metrics: Metrics,
    pub(crate) coordinator: Arc<Coordinator>,
    /// Heads and bodies of requests that are read, queued or being sent.
    pub(crate) memory: MemoryBudget,
    /// Connections of each client account.
    pub(crate) connections: Connections,
    pub(crate) seed: u64,
    builder: Builder,
    world: RwLock<Arc<World>>,
    parts: Mutex<Vec<PartInfo>>,
    peers: Mutex<Option<PeerHandle>>,
    draining: AtomicBool,
    next_id: AtomicU64,
}

impl Shared {
    /// The state of a process that was started at `started`, in wall-clock milliseconds.
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
        metrics.set_memory_bound(most_held(&settings, claims.capacity));
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
            world: RwLock::new(Arc::new(World::default())),
            parts: Mutex::new(Vec::new()),
            peers: Mutex::new(None),
            draining: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            settings,
        }
    }

    /// The configuration in force.
    pub(crate) fn world(&self) -> Arc<World> {
        let world = self.world.read();
        world.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// What is known of the configuration's parts.
    pub(crate) fn parts(&self) -> Vec<PartInfo> {
        let parts = self.parts.lock();
        parts.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The peers' node, once it runs.
    pub(crate) fn peers(&self) -> Option<PeerHandle> {
        let peers = self.peers.lock();
        peers.unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_peers(&self, handle: PeerHandle) {
        *self.peers.lock().unwrap_or_else(PoisonError::into_inner) = Some(handle);
    }

    /// Puts a configuration in force; false when the one in force is newer.
    ///
    /// The peers' node gives revisions in order, and equal ones with more parts. An older one comes
    /// from a notice that was read late, and putting it in force would revert a change.
    pub(crate) fn put_in_force(
        &self,
        text: &ConfigText,
        revision: u64,
        parts: Vec<PartInfo>,
    ) -> bool {
        let before = self.world();
        if revision < before.revision {
            return false;
        }
        let next = Arc::new(self.builder.next(&before, text, revision));
        // Before the world: its requests must find the limits of its accounts.
        self.coordinator.limits().configure(&next.catalog);
        self.coordinator.orders().configure(&next.catalog, revision);
        *self.world.write().unwrap_or_else(PoisonError::into_inner) = next;
        *self.parts.lock().unwrap_or_else(PoisonError::into_inner) = parts;
        true
    }

    /// Takes this instance's part of what all instances share from the live view.
    pub(crate) fn take_view(&self, view: &View) {
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
        self.coordinator.take_view(view);
        self.builder.set_fleet(&fleet);
        self.world().set_fleet(&fleet);
    }

    /// The stage of the instance's life.
    pub(crate) fn state(&self) -> InstanceState {
        if self.draining.load(Ordering::Relaxed) {
            InstanceState::Draining
        } else if self.world().revision == 0 {
            InstanceState::Starting
        } else {
            InstanceState::Serving
        }
    }

    /// Begins a planned stop.
    pub(crate) fn start_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// A number for a request that no other request of this process has.
    pub(crate) fn request_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.id, self.seed as u32)
    }
}
