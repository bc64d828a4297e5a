//! The configuration in force, with the pools and metrics that belong to it.

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

/// Multiple of a class's target after which an answer is of no use to its caller, who is then
/// refused instead of kept waiting.
const PATIENCE_FACTOR: u64 = 4;

/// Part of a target for the whole answer by which a request should have been started.
///
/// The scheduler orders by the latest start that meets the target, and knows the time from start to
/// first token but not the work of a whole answer. Without time for the work, overload would make it
/// start every request just too late: the fleet works at full speed and no answer meets its target.
const WORK_PART: u64 = 2;

/// The lowest tier that waits until it is served: batch work has nobody who gives up.
const PATIENT_TIER: u8 = 4;

/// Servers of a subset that should hold each model. With eight in the mean, three instances of
/// 10,000 have none where only some of the servers hold the model.
const HOLDERS_WANTED: usize = 8;

/// What is in force at one moment. Requests hold the world they started under until they end.
///
/// The default is the world before a configuration was read: it resolves nothing.
#[derive(Default)]
pub(crate) struct World {
    /// The revision of the text; zero before the first.
    pub(crate) revision: u64,
    pub(crate) catalog: Catalog,
    pub(crate) pools: HashMap<ServiceKey, Arc<Pool>>,
    pub(crate) classes: HashMap<ClassKey, ClassMetrics>,
}

impl World {
    /// Hands a reading of the instance list to the routers. Servers are matched by address: the
    /// list names services in the platform's own way.
    pub(crate) fn take_list(&self, list: &InstanceList) {
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

    /// Tells the routers that the instance list couldn't be read.
    pub(crate) fn list_unavailable(&self) {
        for pool in self.pools.values() {
            pool.update(|state, now| state.router.list_unavailable(now));
        }
    }

    /// Takes over the live instances, among which the servers are shared.
    pub(crate) fn set_fleet(&self, fleet: &EntryFleet) {
        for pool in self.pools.values() {
            pool.update(|state, now| state.set_fleet(fleet, now));
        }
    }

    /// The names of the models that an account may use, in order.
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

/// What makes pools and metrics for a world.
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

    /// Remembers the live instances for worlds that are still to come.
    pub(crate) fn set_fleet(&self, fleet: &EntryFleet) {
        self.fleet().clone_from(fleet);
    }

    fn fleet(&self) -> MutexGuard<'_, EntryFleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The world after `text`; pools of services that stay are carried over with their queues.
    pub(crate) fn next(&self, before: &World, text: &ConfigText, revision: u64) -> World {
        let mut catalog = before.catalog.clone();
        catalog.apply(text);
        let mut pools = HashMap::new();
        for (key, service) in &catalog.services {
            let pool = before.pools.get(&key).cloned();
            let pool = pool.unwrap_or_else(|| self.start_pool(&service.name));
            self.configure(&pool, &catalog, service);
            pools.insert(key, pool);
        }
        let classes = self.class_metrics(&catalog);
        self.metrics.set_revision(revision);
        let world = World {
            revision,
            catalog,
            pools,
            classes,
        };
        let fleet = self.fleet().clone();
        world.set_fleet(&fleet);
        world
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

    /// An account as one service's scheduler sees it. Its rates and its concurrency are those of all
    /// services together and hold before the schedulers, so none of them bounds it by itself.
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
        None => Millis(target.0 / WORK_PART),
    };
    let patient = class.priority.tier() >= PATIENT_TIER;
    ClassSpec {
        key,
        tier: class.priority.index() as u8,
        target: start,
        max_wait: if patient {
            Millis::MAX
        } else {
            Millis(target.0.saturating_mul(PATIENCE_FACTOR))
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

/// The servers of a service, and about how many of them an instance is to use.
///
/// A model that only some of the servers hold needs a wider subset: where 100 of 1,000 servers hold
/// it, a subset of 10 would have none of them in one case of three, and every request for it would
/// have to wait until the reach is widened.
fn server_group(catalog: &Catalog, service: &Service) -> ServerGroup {
    let specs = server_specs(catalog, service);
    let models = service.models.iter();
    let replicas = models.map(|&model| catalog.models[model].replicas.max(1) as usize);
    let fewest = replicas.min().unwrap_or(usize::MAX);
    ServerGroup {
        wanted: (HOLDERS_WANTED * specs.len())
            .div_ceil(fewest)
            .max(HOLDERS_WANTED),
        mixed: fewest < specs.len(),
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
                concurrency: server.concurrency,
                models: service.models.clone(),
            }
        })
        .collect()
}
