//! The active configuration, with the pools and metrics that belong to it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_std::task;
use crocushold_admission::AccountSpec;
use crocushold_admission::ClassSpec;
use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Clock;
use crocushold_base::Millis;
use crocushold_base::ServiceKey;
use crocushold_config::Catalog;
use crocushold_config::Class;
use crocushold_config::ConfigText;
use crocushold_config::Service;
use crocushold_config::Settings;
use crocushold_metrics::ClassMetrics;
use crocushold_metrics::ClassSettings;
use crocushold_metrics::Metrics;
use crocushold_platform::wire::InstanceList;
use crocushold_platform::wire::InstanceRole;
use crocushold_platform::wire::InstanceState;
use crocushold_routing::EntryFleet;
use crocushold_routing::ListSnapshot;
use crocushold_routing::Listed;
use crocushold_routing::Presence;
use crocushold_routing::ServerSpec;
use twox_hash::XxHash3_64;

use crate::pool::Pool;
use crate::pool::PoolSettings;
use crate::pool::ServerGroup;

#[cfg(test)]
mod tests;

/// Multiple of a class's latency target after which a queued request is refused: a response that
/// late is of no use to the caller.
const MAX_WAIT_FACTOR: u64 = 4;

/// Divisor of a whole-response target that gives the target for the start of the request.
///
/// The scheduler orders requests by the latest start that meets the target. It knows the time from
/// start to first token, but not the duration of a whole response. Without time reserved for the
/// work, overload would make it start every request just too late: the fleet runs at full speed and
/// no response meets its target.
const START_TARGET_DIVISOR: u64 = 2;

/// Requests of this tier and of lower-priority ones may wait in the queue without limit: batch work
/// has no caller that gives up.
const UNBOUNDED_WAIT_TIER: u8 = 4;

/// Servers of a subset that should hold each model, on average. With eight, three of 10,000
/// instances have no such server when only some of the servers hold the model.
const REPLICAS_PER_SUBSET: usize = 8;

/// One version of the configuration and its runtime state. A request keeps the version that it
/// started with until it ends.
///
/// The default is the state before the first configuration is read: it resolves nothing.
#[derive(Default)]
pub(crate) struct ActiveConfig {
    /// Revision of the configuration; zero before the first.
    pub(crate) revision: u64,
    pub(crate) catalog: Catalog,
    pub(crate) pools: HashMap<ServiceKey, Arc<Pool>>,
    pub(crate) classes: HashMap<ClassKey, ClassMetrics>,
}

impl ActiveConfig {
    /// Passes an instance list to the routers. Servers are matched by address, since the list uses
    /// the platform's own names for services.
    pub(crate) fn on_instance_list(&self, list: &InstanceList) {
        let entries = list.instances.iter();
        let by_address: HashMap<SocketAddr, Presence> = entries
            .filter(|entry| entry.role == InstanceRole::Server)
            .map(|entry| (entry.address, presence(entry.state)))
            .collect();
        for (key, pool) in &self.pools {
            let service = &self.catalog.services[*key];
            let servers = service.servers.iter().filter_map(|&server| {
                let address = self.catalog.servers[server].address;
                let presence = *by_address.get(&address)?;
                Some(Listed { server, presence })
            });
            let list = ListSnapshot {
                revision: list.revision,
                servers: servers.collect(),
            };
            pool.update(|state, now| state.router.instance_list(&list, now));
        }
    }

    /// Reports to the routers that the instance list couldn't be read.
    pub(crate) fn list_unavailable(&self) {
        for pool in self.pools.values() {
            pool.update(|state, now| state.router.list_unavailable(now));
        }
    }

    /// Updates the set of live entry instances, which share the servers.
    pub(crate) fn set_fleet(&self, fleet: &EntryFleet) {
        for pool in self.pools.values() {
            pool.update(|state, now| state.set_fleet(fleet, now));
        }
    }

    /// Names of the models that an account may use, sorted and without duplicates.
    pub(crate) fn models_of(&self, account: AccountKey) -> Vec<&str> {
        let catalog = &self.catalog;
        let classes = catalog.accounts[account].classes.iter();
        let services = classes.map(|&class| catalog.classes[class].service);
        let models = services.flat_map(|service| &catalog.services[service].models);
        let mut ids: Vec<&str> = models
            .map(|&model| catalog.models[model].id.as_str())
            .collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    }
}

fn presence(state: InstanceState) -> Presence {
    match state {
        InstanceState::Live => Presence::Live,
        InstanceState::Leaving | InstanceState::Other => Presence::Leaving,
    }
}

/// Builds an [`ActiveConfig`] with its pools and metrics.
pub(crate) struct Builder {
    clock: Clock,
    zone: String,
    seed: u64,
    metrics: Metrics,
    queue_bytes: u64,
    account_queue: u32,
    senders: usize,
    fleet: Mutex<EntryFleet>,
}

impl Builder {
    pub(crate) fn new(clock: Clock, settings: &Settings, seed: u64, metrics: Metrics) -> Builder {
        Builder {
            clock,
            zone: settings.zone.clone(),
            seed,
            metrics,
            queue_bytes: settings.memory / 2,
            account_queue: settings.limits.queued_per_account,
            senders: settings.senders as usize,
            fleet: Mutex::new(EntryFleet::default()),
        }
    }

    /// Stores the live entry instances for configurations that are built later.
    pub(crate) fn set_fleet(&self, fleet: &EntryFleet) {
        self.fleet().clone_from(fleet);
    }

    fn fleet(&self) -> MutexGuard<'_, EntryFleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Builds the configuration that replaces `previous`. Pools of services that remain are kept,
    /// with their queues.
    pub(crate) fn build(
        &self,
        previous: &ActiveConfig,
        text: &ConfigText,
        revision: u64,
    ) -> ActiveConfig {
        let mut catalog = previous.catalog.clone();
        catalog.apply(text);
        let mut pools = HashMap::new();
        for (key, service) in &catalog.services {
            let pool = previous.pools.get(&key).cloned();
            let pool = pool.unwrap_or_else(|| self.start_pool(&service.name));
            self.configure(&pool, &catalog, service);
            pools.insert(key, pool);
        }
        let classes = self.class_metrics(&catalog);
        self.metrics.set_revision(revision);
        let config = ActiveConfig {
            revision,
            catalog,
            pools,
            classes,
        };
        let fleet = self.fleet().clone();
        config.set_fleet(&fleet);
        config
    }

    fn start_pool(&self, service: &str) -> Arc<Pool> {
        let seed = self.seed ^ XxHash3_64::oneshot(service.as_bytes());
        let settings = PoolSettings {
            service: service.to_owned(),
            zone: self.zone.clone(),
            seed,
            senders: self.senders,
            queue_bytes: self.queue_bytes,
        };
        let pool = Pool::new(self.clock, &settings);
        task::spawn(pool.clone().run_timers());
        pool
    }

    fn configure(&self, pool: &Pool, catalog: &Catalog, service: &Service) {
        let classes: Vec<ClassSpec> = service
            .classes
            .iter()
            .map(|&key| class_spec(key, &catalog.classes[key]))
            .collect();
        let accounts: Vec<AccountSpec> = catalog
            .accounts
            .iter()
            .filter(|(_, account)| account.classes.iter().any(|c| service.classes.contains(c)))
            .map(|(key, _)| self.account_spec(key))
            .collect();
        let servers = server_group(catalog, service);
        pool.update(|state, now| {
            state.scheduler.configure(&classes, &accounts, now);
            state.set_servers(servers, now);
            state.addresses = service
                .servers
                .iter()
                .map(|&key| (key, catalog.servers[key].address))
                .collect();
        });
    }

    /// The account as the scheduler of one service sees it. Its rate limits and its concurrency
    /// limit apply to all services together and are enforced before the schedulers, so the
    /// schedulers don't enforce them.
    fn account_spec(&self, key: AccountKey) -> AccountSpec {
        AccountSpec {
            key,
            max_queued: self.account_queue,
            ..AccountSpec::default()
        }
    }

    fn class_metrics(&self, catalog: &Catalog) -> HashMap<ClassKey, ClassMetrics> {
        let names = catalog.classes.values().map(|class| class.name.as_str());
        self.metrics.retain_classes(names);
        let classes = catalog.classes.iter();
        classes
            .map(|(key, class)| (key, self.metrics.class(&class_settings(class))))
            .collect()
    }
}

fn class_spec(key: ClassKey, class: &Class) -> ClassSpec {
    let target = class.targets.earliest().unwrap_or(Millis::MAX);
    let start = match class.targets.first_token {
        Some(first) => first,
        None => Millis(target.0 / START_TARGET_DIVISOR),
    };
    let unbounded_wait = class.priority.tier() >= UNBOUNDED_WAIT_TIER;
    ClassSpec {
        key,
        tier: class.priority.index() as u8,
        target: start,
        max_wait: if unbounded_wait {
            Millis::MAX
        } else {
            Millis(target.0.saturating_mul(MAX_WAIT_FACTOR))
        },
        floor: class.floor.as_fraction(),
        max_queued: class.queue,
        ..ClassSpec::default()
    }
}

fn class_settings(class: &Class) -> ClassSettings {
    ClassSettings {
        name: class.name.clone(),
        first_token: class.targets.first_token,
        token_gap: class.targets.between_tokens,
        whole: class.targets.whole_answer,
        objective: class.objective.as_fraction(),
    }
}

/// The servers of a service, and roughly how many of them one instance should use.
///
/// A model that only some of the servers hold needs a larger subset. If 100 of 1,000 servers hold
/// it, a subset of 10 contains none of them in one case of three, and every request for the model
/// would wait until the reach is widened.
fn server_group(catalog: &Catalog, service: &Service) -> ServerGroup {
    let specs = server_specs(catalog, service);
    let models = service.models.iter();
    let replicas = models.map(|&model| catalog.models[model].replicas.max(1) as usize);
    let fewest = replicas.min().unwrap_or(usize::MAX);
    ServerGroup {
        subset_size: (REPLICAS_PER_SUBSET * specs.len())
            .div_ceil(fewest)
            .max(REPLICAS_PER_SUBSET),
        heterogeneous: fewest < specs.len(),
        specs,
    }
}

fn server_specs(catalog: &Catalog, service: &Service) -> Vec<ServerSpec> {
    let servers = service.servers.iter();
    servers
        .map(|&key| {
            let server = &catalog.servers[key];
            ServerSpec {
                key,
                id: XxHash3_64::oneshot(server.name.as_bytes()),
                zone: server.zone.clone(),
                region: None,
                software: None,
                concurrency: server.concurrency,
                models: service.models.clone(),
            }
        })
        .collect()
}
