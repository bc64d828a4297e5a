//! Applies a revision of the text to the catalog.

use std::collections::BTreeMap;
use std::collections::HashMap;

use slotmap::Key;
use slotmap::SlotMap;

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_base::ServiceKey;

use crate::catalog::Catalog;
use crate::changes::Changes;
use crate::changes::Diff;
use crate::decl::ServerDecl;
use crate::link::LinkedAccount;
use crate::link::LinkedClass;
use crate::link::LinkedConfig;
use crate::link::LinkedService;
use crate::link::link;
use crate::model::Account;
use crate::model::Class;
use crate::model::Model;
use crate::model::Server;
use crate::model::Service;
use crate::text::ConfigText;

impl Catalog {
    /// Creates a catalog of everything in force in a text.
    pub fn new(text: &ConfigText) -> Catalog {
        let mut catalog = Catalog::default();
        catalog.apply(text);
        catalog
    }

    /// Updates the catalog to the text, and keeps the keys of names that persist.
    ///
    /// The resulting records depend on the text alone. Only the values of the keys depend on the
    /// catalog's previous contents.
    pub fn apply(&mut self, text: &ConfigText) -> Changes {
        let linked = link(text);
        let before = self.services.clone();
        let mut changes = Changes {
            services: self.apply_services(&linked),
            ..Changes::default()
        };
        changes.servers = self.apply_servers(&linked);
        changes.models = self.apply_models(&linked);
        changes.classes = self.apply_classes(&linked);
        changes.accounts = self.apply_accounts(&linked);
        self.fill_services(&linked);
        self.index_digests();
        self.names.teams = text.parts().map(|part| part.team().to_owned()).collect();
        changes.services.changed = changed_services(&before, &self.services);
        changes
    }

    fn apply_services(&mut self, linked: &LinkedConfig<'_>) -> Diff<ServiceKey> {
        let desired = linked.services.values().map(service_record);
        let desired = desired.map(|service| (service.name.clone(), service));
        reconcile(
            &mut self.services,
            &mut self.names.services,
            desired.collect(),
            |_, _| true,
        )
    }

    fn apply_servers(&mut self, linked: &LinkedConfig<'_>) -> Diff<ServerKey> {
        let mut desired = BTreeMap::new();
        for decl in linked.declarations.iter().flat_map(|d| &d.servers) {
            let Some(service) = linked.services.get(decl.service.as_str()) else {
                continue;
            };
            let key = self.names.services[&decl.service];
            desired.insert(decl.name.clone(), server_record(decl, service, key));
        }
        // A server with a new address gets a new key, so that a late answer from the old address
        // can't be attributed to it.
        reconcile(
            &mut self.servers,
            &mut self.names.servers,
            desired,
            |old, new| old.address == new.address,
        )
    }

    fn apply_models(&mut self, linked: &LinkedConfig<'_>) -> Diff<ModelKey> {
        let mut desired = BTreeMap::new();
        for decl in linked.declarations.iter().flat_map(|d| &d.models) {
            let model = Model {
                name: decl.name.clone(),
                id: decl.id.clone(),
                service: self.names.services[&decl.service],
                weights: decl.weights,
                replicas: decl.replicas,
            };
            desired.insert(decl.name.clone(), model);
        }
        reconcile(&mut self.models, &mut self.names.models, desired, |_, _| {
            true
        })
    }

    fn apply_classes(&mut self, linked: &LinkedConfig<'_>) -> Diff<ClassKey> {
        let desired = linked.classes.values().map(|class| {
            let service = self.names.services[&class.decl.service];
            (class.decl.name.clone(), class_record(class, service))
        });
        let desired = desired.collect();
        // A class that moved to another service gets a new key, since its queues and lengths are
        // different ones there.
        reconcile(
            &mut self.classes,
            &mut self.names.classes,
            desired,
            |old, new| old.service == new.service,
        )
    }

    fn apply_accounts(&mut self, linked: &LinkedConfig<'_>) -> Diff<AccountKey> {
        let classes = &self.names.classes;
        let desired = linked.accounts.values().map(|account| {
            let name = account.decl.name.clone();
            (name, account_record(account, classes))
        });
        let desired = desired.collect();
        reconcile(
            &mut self.accounts,
            &mut self.names.accounts,
            desired,
            |_, _| true,
        )
    }

    /// Fills in the references from services to their dependencies, models, servers and classes.
    fn fill_services(&mut self, linked: &LinkedConfig<'_>) {
        for (name, service) in &linked.services {
            let depends = service.depends.iter();
            let depends = depends.map(|other| self.names.services[*other]).collect();
            let key = self.names.services[*name];
            self.services[key].depends = depends;
        }
        self.names.model_ids.clear();
        for &key in self.names.models.values() {
            let model = &self.models[key];
            self.services[model.service].models.push(key);
            let ids = self.names.model_ids.entry(model.service).or_default();
            ids.insert(model.id.clone(), key);
        }
        for &key in self.names.servers.values() {
            let service = self.servers[key].service;
            self.services[service].servers.push(key);
        }
        for &key in self.names.classes.values() {
            let service = self.classes[key].service;
            self.services[service].classes.push(key);
        }
    }

    fn index_digests(&mut self) {
        let mut digests: HashMap<_, Vec<AccountKey>> = HashMap::new();
        for &key in self.names.accounts.values() {
            for &digest in &self.accounts[key].digests {
                digests.entry(digest).or_default().push(key);
            }
        }
        self.names.digests = digests;
    }
}

/// Makes an arena contain the desired records. Keeps the key of a record for which `is_same` holds
/// for the old and the new one.
fn reconcile<K: Key, V: PartialEq>(
    arena: &mut SlotMap<K, V>,
    names: &mut BTreeMap<String, K>,
    desired: BTreeMap<String, V>,
    is_same: impl Fn(&V, &V) -> bool,
) -> Diff<K> {
    let mut diff = Diff::default();
    names.retain(|name, key| {
        let new = desired.get(name);
        let kept = new.is_some_and(|new| is_same(&arena[*key], new));
        if !kept {
            arena.remove(*key);
            diff.removed.push(*key);
        }
        kept
    });
    for (name, value) in desired {
        match names.get(&name) {
            None => {
                let key = arena.insert(value);
                names.insert(name, key);
                diff.added.push(key);
            }
            Some(&key) if arena[key] != value => {
                arena[key] = value;
                diff.changed.push(key);
            }
            Some(_) => {}
        }
    }
    diff
}

fn changed_services(
    before: &SlotMap<ServiceKey, Service>,
    after: &SlotMap<ServiceKey, Service>,
) -> Vec<ServiceKey> {
    let kept = before.iter().filter_map(|(key, old)| {
        let new = after.get(key)?;
        (old != new).then_some(key)
    });
    kept.collect()
}

/// Creates a service's record without the references that `fill_services` adds.
fn service_record(service: &LinkedService<'_>) -> Service {
    Service {
        name: service.decl.name.clone(),
        kind: service.decl.kind.clone(),
        depends: Vec::new(),
        servers: Vec::new(),
        models: Vec::new(),
        classes: Vec::new(),
        weight_loads: service.decl.weight_loads,
    }
}

fn server_record(decl: &ServerDecl, service: &LinkedService<'_>, key: ServiceKey) -> Server {
    let defaults = service.decl;
    Server {
        name: decl.name.clone(),
        service: key,
        address: decl.address,
        zone: decl.zone.clone(),
        concurrency: decl.concurrency.unwrap_or(defaults.concurrency),
        checks_orders: decl.checks_orders.unwrap_or(defaults.checks_orders),
        role: decl.role.or(defaults.role),
    }
}

fn class_record(class: &LinkedClass<'_>, service: ServiceKey) -> Class {
    let decl = class.decl;
    Class {
        name: decl.name.clone(),
        service,
        priority: decl.priority,
        targets: decl.targets,
        floor: class.floor,
        idempotent: decl.idempotent,
        retries: decl.retries,
        queue: decl.queue,
        objective: decl.objective,
        calls: decl.calls.clone(),
    }
}

fn account_record(account: &LinkedAccount<'_>, classes: &BTreeMap<String, ClassKey>) -> Account {
    let keys = account.classes.iter().map(|name| classes[*name]);
    Account {
        name: account.decl.name.clone(),
        digests: account.decl.digests.clone(),
        classes: keys.collect(),
        limits: account.decl.limits,
    }
}
