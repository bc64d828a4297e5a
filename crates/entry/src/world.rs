//! The configuration in force, with the pools and metrics that belong to it.

use std::collections::HashMap;
use std::sync::Arc;

use async_std::task;
use crocushold_admission::AccountSpec;
use crocushold_admission::ClassSpec;
use crocushold_base::ClassKey;
use crocushold_base::Clock;
use crocushold_base::Millis;
use crocushold_base::ServiceKey;
use crocushold_config::Account;
use crocushold_config::Catalog;
use crocushold_config::Class;
use crocushold_config::Service;
use crocushold_config::Text;
use crocushold_metrics::ClassMetrics;
use crocushold_metrics::ClassSettings;
use crocushold_metrics::Metrics;
use crocushold_routing::ServerSpec;
use twox_hash::XxHash3_64;

use crate::pool::Pool;

/// Multiple of a class's target after which an answer is of no use to its caller, who is then
/// refused instead of kept waiting.
const PATIENCE_FACTOR: u64 = 4;

/// The lowest tier that waits until it is served: batch work has nobody who gives up.
const PATIENT_TIER: u8 = 4;

/// What is in force at one moment. Requests hold the world they started under until they end.
pub(crate) struct World {
    /// The revision of the text; zero before the first.
    pub(crate) revision: u64,
    pub(crate) catalog: Catalog,
    pub(crate) pools: HashMap<ServiceKey, Arc<Pool>>,
    pub(crate) classes: HashMap<ClassKey, ClassMetrics>,
}

/// What makes pools and metrics for a world.
pub(crate) struct Builder {
    pub(crate) clock: Clock,
    pub(crate) zone: String,
    pub(crate) seed: u64,
    pub(crate) metrics: Metrics,
}

impl Builder {
    /// The world before a configuration was read: it resolves nothing.
    pub(crate) fn empty() -> World {
        World {
            revision: 0,
            catalog: Catalog::default(),
            pools: HashMap::new(),
            classes: HashMap::new(),
        }
    }

    /// The world after `text`; pools of services that stay are carried over with their queues.
    pub(crate) fn next(&self, before: &World, text: &Text, revision: u64) -> World {
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
        World {
            revision,
            catalog,
            pools,
            classes,
        }
    }

    fn start_pool(&self, service: &str) -> Arc<Pool> {
        let seed = self.seed ^ XxHash3_64::oneshot(service.as_bytes());
        let pool = Pool::new(self.clock, &self.zone, seed);
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
            .map(|(key, account)| account_spec(key, account))
            .collect();
        let servers = server_specs(catalog, service);
        pool.update(|state, now| {
            state.scheduler.configure(&classes, &accounts, now);
            state.router.configure(&servers, now);
            state.addresses = service
                .servers
                .iter()
                .map(|&key| (key, catalog.servers[key].address))
                .collect();
        });
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
    let patient = class.priority.tier() >= PATIENT_TIER;
    ClassSpec {
        key,
        tier: class.priority.index() as u8,
        target,
        patience: if patient {
            Millis::MAX
        } else {
            Millis(target.0.saturating_mul(PATIENCE_FACTOR))
        },
        floor: class.floor.as_fraction(),
        queue: class.queue,
        ..ClassSpec::default()
    }
}

fn account_spec(key: crocushold_base::AccountKey, account: &Account) -> AccountSpec {
    AccountSpec {
        key,
        requests: f64::from(account.limits.requests),
        tokens: f64::from(account.limits.tokens),
        concurrency: account.limits.concurrency,
        ..AccountSpec::default()
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

fn server_specs(catalog: &Catalog, service: &Service) -> Vec<ServerSpec> {
    let servers = service.servers.iter();
    servers
        .map(|&key| {
            let server = &catalog.servers[key];
            ServerSpec {
                key,
                id: XxHash3_64::oneshot(server.name.as_bytes()),
                zone: server.zone.clone(),
                concurrency: server.concurrency,
                models: service.models.clone(),
            }
        })
        .collect()
}
