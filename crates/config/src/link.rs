//! Resolves references between teams.
//!
//! Mistakes found here don't affect which editions are accepted. Only the declaration that contains
//! the reference is left out or reduced, with a warning in its own team's part. The result depends
//! only on the set of accepted editions, not on their order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::decl::AccountDecl;
use crate::decl::ClassDecl;
use crate::decl::Declarations;
use crate::decl::ServiceDecl;
use crate::digest::KeyDigest;
use crate::finding::Findings;
use crate::graph::ServiceGraph;
use crate::model::Share;
use crate::model::team_name;
use crate::targets::slow_dependency;
use crate::targets::target_key;
use crate::text::ConfigText;

/// The declarations of all accepted editions with resolved references, by full name.
#[derive(Default)]
pub(crate) struct LinkedConfig<'a> {
    pub(crate) services: BTreeMap<&'a str, LinkedService<'a>>,
    pub(crate) classes: BTreeMap<&'a str, LinkedClass<'a>>,
    pub(crate) accounts: BTreeMap<&'a str, LinkedAccount<'a>>,
    pub(crate) declarations: Vec<&'a Declarations>,
    pub(crate) findings: Findings,
}

pub(crate) struct LinkedService<'a> {
    pub(crate) decl: &'a ServiceDecl,
    /// The dependencies that are in force.
    pub(crate) depends: Vec<&'a str>,
}

pub(crate) struct LinkedClass<'a> {
    pub(crate) decl: &'a ClassDecl,
    /// The floor, reduced to the share that the service's owner grants.
    pub(crate) floor: Share,
}

pub(crate) struct LinkedAccount<'a> {
    pub(crate) decl: &'a AccountDecl,
    /// The classes that are in force and that the account may use.
    pub(crate) classes: Vec<&'a str>,
}

/// Resolves references between the editions in force.
pub(crate) fn link(text: &ConfigText) -> LinkedConfig<'_> {
    let mut linked = LinkedConfig {
        declarations: text.parts().map(|part| part.declarations()).collect(),
        ..LinkedConfig::default()
    };
    linked.link_services();
    linked.link_classes();
    linked.link_accounts();
    linked.check_digests();
    linked.check_addresses();
    linked
}

impl<'a> LinkedConfig<'a> {
    fn link_services(&mut self) {
        let all: Vec<&ServiceDecl> = self.declarations.iter().flat_map(|d| &d.services).collect();
        let known: BTreeSet<&str> = all.iter().map(|s| s.name.as_str()).collect();
        let graph = ServiceGraph::new(all.iter().copied());
        for decl in all {
            let mut depends = Vec::new();
            for name in &decl.depends {
                let own = team_name(name) == decl.location.team;
                let problem = if !known.contains(name.as_str()) {
                    "is not in force"
                } else if !own && graph.reaches(name, &decl.name) {
                    "depends on this service in turn"
                } else {
                    depends.push(name.as_str());
                    continue;
                };
                let message = format!("{name} {problem} and is passed over; write another name");
                let finding = decl.location.warning("depends-on", message);
                self.findings.push(finding);
            }
            let service = LinkedService { decl, depends };
            self.services.insert(&decl.name, service);
        }
    }

    fn link_classes(&mut self) {
        let all: Vec<&ClassDecl> = self.declarations.iter().flat_map(|d| &d.classes).collect();
        let mut floor_sums: BTreeMap<(&str, &str), u32> = BTreeMap::new();
        for class in &all {
            let key = (class.location.team.as_str(), class.service.as_str());
            let sum = floor_sums.entry(key).or_default();
            *sum = sum.saturating_add(class.floor.0);
        }
        for decl in &all {
            let floor_sum = floor_sums[&(decl.location.team.as_str(), decl.service.as_str())];
            match self.floor_of(decl, Share(floor_sum)) {
                Ok(floor) => {
                    self.classes.insert(&decl.name, LinkedClass { decl, floor });
                }
                Err(message) => {
                    let finding = decl.location.warning("service", message);
                    self.findings.push(finding);
                }
            }
        }
        self.check_targets(&all);
    }

    /// Returns the effective floor of a class, where `floor_sum` is the sum of its team's floors on
    /// the service.
    fn floor_of(&mut self, class: &ClassDecl, floor_sum: Share) -> Result<Share, String> {
        let name = &class.service;
        let Some(service) = self.services.get(name.as_str()) else {
            return Err(format!(
                "service {name} is not in force, nor is this class; write another service"
            ));
        };
        let team = &class.location.team;
        if team_name(name) == team {
            return Ok(class.floor);
        }
        let grants = &service.decl.grants;
        let Some(grant) = grants.iter().find(|grant| grant.team == *team) else {
            return Err(format!(
                "service {name} is not shared with {team}, and the class is not in force; \
                 have its team write shared-with = {team} 5 %"
            ));
        };
        if floor_sum <= grant.share {
            return Ok(class.floor);
        }
        let scaled = u64::from(class.floor.0) * u64::from(grant.share.0) / u64::from(floor_sum.0);
        let floor = Share(u32::try_from(scaled).unwrap_or(grant.share.0));
        let message = format!(
            "the floors on {name} take {floor_sum} of the {} that it shares with {team}, \
             and this one counts as {floor}; lower them",
            grant.share
        );
        self.findings.push(class.location.warning("floor", message));
        Ok(floor)
    }

    /// Checks targets against those of dependencies across teams. Dependencies within a team are
    /// checked with its part.
    fn check_targets(&mut self, all: &[&'a ClassDecl]) {
        let linked = self.classes.values().map(|class| class.decl);
        for class in linked {
            let Some(service) = self.services.get(class.service.as_str()) else {
                continue;
            };
            let team = &class.location.team;
            for name in &service.depends {
                let own = team_name(name) == team && team_name(&class.service) == team;
                let slow = slow_dependency(class, name, all.iter().copied());
                if let Some(message) = slow.filter(|_| !own) {
                    let finding = class.location.warning(target_key(class), message);
                    self.findings.push(finding);
                }
            }
        }
    }

    fn link_accounts(&mut self) {
        for decl in self.declarations.iter().flat_map(|d| &d.accounts) {
            let mut classes = Vec::new();
            for name in &decl.classes {
                match self.may_use(&decl.location.team, name) {
                    Ok(()) => classes.push(name.as_str()),
                    Err(message) => {
                        let finding = decl.location.warning("classes", message);
                        self.findings.push(finding);
                    }
                }
            }
            let account = LinkedAccount { decl, classes };
            self.accounts.insert(&decl.name, account);
        }
    }

    fn may_use(&self, team: &str, name: &str) -> Result<(), String> {
        let Some(class) = self.classes.get(name) else {
            return Err(format!(
                "class {name} is not in force and is passed over; write another class"
            ));
        };
        if team_name(name) == team || class.decl.teams.iter().any(|other| other == team) {
            return Ok(());
        }
        Err(format!(
            "class {name} is not shared with {team} and is passed over; \
             have its team write shared-with = {team}"
        ))
    }

    /// Warns about accounts with the same key. One team has probably copied the other's digest.
    fn check_digests(&mut self) {
        let mut holders: HashMap<KeyDigest, Vec<&AccountDecl>> = HashMap::new();
        for account in self.accounts.values() {
            for digest in &account.decl.digests {
                holders.entry(*digest).or_default().push(account.decl);
            }
        }
        for accounts in holders.values().filter(|accounts| accounts.len() > 1) {
            let owner = accounts[0];
            for account in accounts {
                let others = accounts.iter().filter(|other| other.name != account.name);
                let others: Vec<&str> = others.map(|other| other.name.as_str()).collect();
                let message = format!(
                    "{} has the same key, and a key that names no team belongs to {}; write a key \
                     of your own",
                    others.join(", "),
                    owner.name
                );
                let finding = account.location.warning("key-sha256", message);
                self.findings.push(finding);
            }
        }
    }

    fn check_addresses(&mut self) {
        let mut seen: HashMap<SocketAddr, &str> = HashMap::new();
        for server in self.declarations.iter().flat_map(|d| &d.servers) {
            if let Some(first) = seen.insert(server.address, &server.name) {
                let message = format!(
                    "{first} has the same address, and both count its load apart; \
                     write another address or leave one out"
                );
                let finding = server.location.warning("address", message);
                self.findings.push(finding);
            }
        }
    }
}
