//! Checks within one edition. They don't depend on other parts, so that no other team can affect
//! whether the edition is accepted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::decl::AccountDecl;
use crate::decl::ClassDecl;
use crate::decl::Declarations;
use crate::decl::Location;
use crate::decl::ServiceDecl;
use crate::finding::Findings;
use crate::graph::ServiceGraph;
use crate::model::CallPattern;
use crate::model::Role;
use crate::model::ServiceKind;
use crate::model::Share;
use crate::model::short_name;
use crate::model::team_name;
use crate::targets::slow_dependency;
use crate::targets::target_key;

/// Maximum sum of the floors of all classes on a service. The rest is assigned by priority; without
/// it the highest priority would have no capacity for bursts.
pub(crate) const MAX_FLOOR_SUM: Share = Share(8_000);

/// Checks the declarations of one edition against each other.
pub(crate) fn check(team: &str, declarations: &Declarations, findings: &mut Findings) {
    let mut check = Check {
        team,
        services: by_name(&declarations.services, |s| &s.name),
        classes: by_name(&declarations.classes, |c| &c.name),
        declarations,
        findings,
    };
    check.members();
    check.roles();
    check.dependencies();
    check.prefixes();
    check.grants();
    check.class_services();
    check.floors();
    check.calls();
    check.account_classes();
    check.digests();
    check.servers_present();
}

fn by_name<T>(items: &[T], name: impl Fn(&T) -> &str) -> BTreeMap<&str, &T> {
    items.iter().map(|item| (name(item), item)).collect()
}

struct Check<'a> {
    team: &'a str,
    services: BTreeMap<&'a str, &'a ServiceDecl>,
    classes: BTreeMap<&'a str, &'a ClassDecl>,
    declarations: &'a Declarations,
    findings: &'a mut Findings,
}

impl<'a> Check<'a> {
    fn error(&mut self, location: &Location, key: &str, message: impl Into<String>) {
        self.findings.push(location.error(key, message.into()));
    }

    fn warn(&mut self, location: &Location, key: &str, message: impl Into<String>) {
        self.findings.push(location.warning(key, message.into()));
    }

    fn has_service(&self, name: &str) -> bool {
        self.services.contains_key(name) || self.is_malformed("service", name)
    }

    fn has_class(&self, name: &str) -> bool {
        self.classes.contains_key(name) || self.is_malformed("class", name)
    }

    fn is_malformed(&self, kind: &'static str, name: &str) -> bool {
        self.declarations
            .malformed
            .contains(&(kind, name.to_owned()))
    }

    fn is_own(&self, name: &str) -> bool {
        team_name(name) == self.team
    }

    /// Servers and models must belong to a service of their own team, and models to a model
    /// service.
    fn members(&mut self) {
        let declarations = self.declarations;
        let servers = declarations
            .servers
            .iter()
            .map(|s| (&s.location, &s.service));
        let models = declarations
            .models
            .iter()
            .map(|m| (&m.location, &m.service));
        for (location, service) in servers.chain(models) {
            if !self.has_service(service) {
                let message = missing_reference("service", short_name(service));
                self.error(location, "", message);
            }
        }
        for model in &declarations.models {
            let service = self.services.get(model.service.as_str());
            if service.is_some_and(|s| s.kind != ServiceKind::Model) {
                let message = "a plain service serves no models; write kind = model there, \
                               or leave this section out";
                self.error(&model.location, "", message);
            }
        }
    }

    /// Roles require a model service in which at least one engine runs whole requests, and have no
    /// effect without `weight-loads`.
    fn roles(&mut self) {
        let declarations = self.declarations;
        for server in &declarations.servers {
            let service = self.services.get(server.service.as_str());
            let is_plain = service.is_some_and(|s| s.kind != ServiceKind::Model);
            if is_plain && server.role.is_some() {
                let message = "a plain service has no roles; leave it out";
                self.error(&server.location, "role", message);
            }
        }
        for service in declarations
            .services
            .iter()
            .filter(|s| s.kind == ServiceKind::Model)
        {
            self.service_roles(service);
        }
    }

    fn service_roles(&mut self, service: &ServiceDecl) {
        let servers = self.declarations.servers.iter();
        let servers = servers.filter(|server| server.service == service.name);
        let roles: Vec<Option<Role>> = servers.map(|s| s.role.or(service.role)).collect();
        let is_whole = |role: &Option<Role>| role.is_none_or(|role| role == Role::Both);
        if !roles.is_empty() && !roles.iter().any(is_whole) {
            let message = "no server of this service would run whole requests; \
                           write role = both for one of them";
            self.error(&service.location, "role", message);
        }
        if roles.iter().any(Option::is_some) && service.weight_loads == 0 {
            let message = "the roles are not ordered, since nothing is ordered in a service without \
                           weight-loads; write weight-loads = 6/min";
            self.warn(&service.location, "role", message);
        }
    }

    fn dependencies(&mut self) {
        let graph = ServiceGraph::new(&self.declarations.services);
        for service in &self.declarations.services {
            let mut cyclic = Vec::new();
            for name in service.depends.iter() {
                if !self.is_own(name) {
                    continue;
                }
                if !self.has_service(name) {
                    let message = missing_reference("service", short_name(name));
                    self.error(&service.location, "depends-on", message);
                } else if graph.reaches(name, &service.name) {
                    cyclic.push(short_name(name));
                }
            }
            if !cyclic.is_empty() && graph.is_first_on_cycles(&service.name) {
                let message = format!(
                    "a cycle leads back to this service by way of {}; leave out one dependency of \
                     each cycle",
                    cyclic.join(", ")
                );
                self.error(&service.location, "depends-on", message);
            }
        }
    }

    fn prefixes(&mut self) {
        let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
        for service in &self.declarations.services {
            let ServiceKind::Plain { prefix } = &service.kind else {
                continue;
            };
            if let Some(first) = seen.insert(prefix, &service.name) {
                let message = format!(
                    "{} has this prefix already; write another one",
                    short_name(first)
                );
                self.error(&service.location, "prefix", message);
            }
        }
    }

    fn grants(&mut self) {
        for service in &self.declarations.services {
            let mut seen = BTreeSet::from([self.team]);
            for grant in &service.grants {
                if !seen.insert(&grant.team) {
                    let message = format!(
                        "{} is the own team or listed twice; write each other team once",
                        grant.team
                    );
                    self.error(&service.location, "shared-with", message);
                }
            }
        }
    }

    fn class_services(&mut self) {
        for class in &self.declarations.classes {
            if !self.is_own(&class.service) {
                continue;
            }
            let Some(service) = self.services.get(class.service.as_str()).copied() else {
                if self.has_service(&class.service) {
                    continue;
                }
                let message = missing_reference("service", short_name(&class.service));
                self.error(&class.location, "service", message);
                continue;
            };
            let own = service.depends.iter().filter(|name| self.is_own(name));
            let slow =
                own.filter_map(|name| slow_dependency(class, name, &self.declarations.classes));
            let slow: Vec<String> = slow.collect();
            for message in slow {
                self.error(&class.location, target_key(class), message);
            }
        }
    }

    /// The sum of the team's own floors and the shares granted to other teams is limited.
    fn floors(&mut self) {
        for service in &self.declarations.services {
            let classes = self.declarations.classes.iter();
            let own = classes.filter(|c| c.service == service.name);
            let own: u32 = own.map(|c| c.floor.0).sum();
            let granted: u32 = service.grants.iter().map(|g| g.share.0).sum();
            let total = Share(own.saturating_add(granted));
            if total > MAX_FLOOR_SUM {
                let message = format!(
                    "the floors of its classes ({}) and the shares in shared-with ({}) take {total}; \
                     lower them to {MAX_FLOOR_SUM} together",
                    Share(own),
                    Share(granted),
                );
                self.error(&service.location, "", message);
            }
        }
    }

    /// Only the team that owns a plain service can bind its calls to classes.
    fn calls(&mut self) {
        let mut seen: HashMap<(&str, &CallPattern), &str> = HashMap::new();
        for class in self.declarations.classes.iter() {
            if class.calls.is_empty() {
                continue;
            }
            let service = self.services.get(class.service.as_str()).copied();
            let prefix = service.and_then(|s| match &s.kind {
                ServiceKind::Plain { prefix } => Some(prefix),
                ServiceKind::Model => None,
            });
            let Some(prefix) = prefix else {
                let malformed = self.is_malformed("service", &class.service);
                if malformed || self.is_own(&class.service) && service.is_none() {
                    continue;
                }
                let message = "calls belong to a plain service of the own team; leave them out";
                self.error(&class.location, "calls", message);
                continue;
            };
            for call in &class.calls {
                let path = format!("/{}/", call.segments.join("/"));
                if !path.starts_with(&format!("{prefix}/")) {
                    let message = format!("{call} lies outside the service; begin with {prefix}/");
                    self.error(&class.location, "calls", message);
                }
                if let Some(first) = seen.insert((&class.service, call), &class.name) {
                    let first = short_name(first);
                    let message = format!("{call} belongs to {first} already; write it once");
                    self.error(&class.location, "calls", message);
                }
            }
        }
    }

    fn account_classes(&mut self) {
        for account in &self.declarations.accounts {
            let mut seen = BTreeSet::new();
            for name in &account.classes {
                if !seen.insert(name) {
                    let message = format!("{} is listed twice; write it once", short_name(name));
                    self.error(&account.location, "classes", message);
                }
                if self.is_own(name) && !self.has_class(name) {
                    let message = missing_reference("class", short_name(name));
                    self.error(&account.location, "classes", message);
                }
            }
            self.unreachable_classes(account);
        }
    }

    /// A caller can't request a class with a higher priority than its default, which is the
    /// account's first class on a service. A class above the default is therefore unreachable.
    fn unreachable_classes(&mut self, account: &AccountDecl) {
        let mut first: BTreeMap<&str, &ClassDecl> = BTreeMap::new();
        for name in &account.classes {
            let Some(class) = self.classes.get(name.as_str()).copied() else {
                continue;
            };
            let default = *first.entry(&class.service).or_insert(class);
            let any_malformed = [class, default]
                .iter()
                .any(|c| self.is_malformed("class", &c.name));
            if !any_malformed && class.priority < default.priority && class.calls.is_empty() {
                let message = format!(
                    "{} is above {}, the account's first class on the service, and out of reach; \
                     list it first",
                    short_name(name),
                    short_name(&default.name)
                );
                self.warn(&account.location, "classes", message);
            }
        }
    }

    fn digests(&mut self) {
        let mut seen = HashMap::new();
        for account in &self.declarations.accounts {
            for digest in &account.digests {
                if let Some(first) = seen.insert(digest, &account.name) {
                    let message = format!(
                        "account {} has this key already; give each account its own key",
                        short_name(first)
                    );
                    self.error(&account.location, "key-sha256", message);
                }
            }
        }
    }

    /// A service without servers is only a warning, since it may be scaled to zero on purpose.
    fn servers_present(&mut self) {
        let served: BTreeSet<&str> = self
            .declarations
            .servers
            .iter()
            .map(|s| s.service.as_str())
            .collect();
        for class in &self.declarations.classes {
            let known = self.services.contains_key(class.service.as_str());
            if known && !served.contains(class.service.as_str()) {
                let service = short_name(&class.service);
                let message = format!(
                    "the class has no server, and its requests are refused; \
                     write a section [server {service}/NAME]"
                );
                self.warn(&class.location, "service", message);
            }
        }
    }
}

pub(crate) fn missing_reference(kind: &str, name: &str) -> String {
    format!("there is no {kind} {name}; write a section [{kind} {name}] or another name")
}
