//! What one edition of a team's part declares, before references are resolved.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::digest::KeyDigest;
use crate::finding::Finding;
use crate::finding::Severity;
use crate::model::CallPattern;
use crate::model::Limits;
use crate::model::Priority;
use crate::model::Role;
use crate::model::ServiceKind;
use crate::model::Share;
use crate::model::Targets;
use crate::source::Section;

/// Where a declaration stands: the team, the section and the lines of its keys.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) team: String,
    pub(crate) header: String,
    pub(crate) line: usize,
    keys: Vec<(String, usize)>,
}

impl Place {
    pub(crate) fn new(team: &str, section: &Section) -> Place {
        let keys = section.entries.iter();
        Place {
            team: team.to_owned(),
            header: section.header.clone(),
            line: section.line,
            keys: keys.map(|e| (e.key.clone(), e.line)).collect(),
        }
    }

    /// A finding about `key`, at its line or else at the section's.
    pub(crate) fn finding(&self, severity: Severity, key: &str, message: String) -> Finding {
        let line = self.keys.iter().find(|(name, _)| name == key);
        Finding {
            team: self.team.clone(),
            line: line.map_or(self.line, |(_, line)| *line),
            section: self.header.clone(),
            key: key.to_owned(),
            severity,
            message,
        }
    }

    pub(crate) fn error(&self, key: &str, message: String) -> Finding {
        self.finding(Severity::Error, key, message)
    }

    pub(crate) fn warning(&self, key: &str, message: String) -> Finding {
        self.finding(Severity::Warning, key, message)
    }
}

/// Another team that may use a service, and the share its classes' floors may take together.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) team: String,
    pub(crate) share: Share,
}

#[derive(Clone, Debug)]
pub(crate) struct ServiceDecl {
    pub(crate) place: Place,
    pub(crate) name: String,
    pub(crate) kind: ServiceKind,
    pub(crate) depends: Vec<String>,
    pub(crate) grants: Vec<Grant>,
    pub(crate) weight_loads: u32,
    pub(crate) concurrency: u32,
    pub(crate) checks_orders: bool,
    pub(crate) role: Option<Role>,
}

#[derive(Clone, Debug)]
pub(crate) struct ServerDecl {
    pub(crate) place: Place,
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    /// The service's default where it is left out.
    pub(crate) concurrency: Option<u32>,
    /// The service's default where it is left out.
    pub(crate) checks_orders: Option<bool>,
    /// The service's default where it is left out.
    pub(crate) role: Option<Role>,
}

#[derive(Clone, Debug)]
pub(crate) struct ModelDecl {
    pub(crate) place: Place,
    pub(crate) name: String,
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) weights: u64,
    pub(crate) replicas: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct ClassDecl {
    pub(crate) place: Place,
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) priority: Priority,
    pub(crate) targets: Targets,
    pub(crate) floor: Share,
    pub(crate) idempotent: bool,
    pub(crate) retries: u32,
    pub(crate) queue: u32,
    pub(crate) objective: Share,
    pub(crate) calls: Vec<CallPattern>,
    /// Other teams whose accounts may use the class.
    pub(crate) teams: Vec<String>,
}

#[derive(Clone, Debug)]
pub(crate) struct AccountDecl {
    pub(crate) place: Place,
    pub(crate) name: String,
    pub(crate) digests: Vec<KeyDigest>,
    pub(crate) classes: Vec<String>,
    pub(crate) limits: Limits,
}

/// Everything that one edition declares. Names are full.
#[derive(Clone, Debug, Default)]
pub(crate) struct Declared {
    pub(crate) services: Vec<ServiceDecl>,
    pub(crate) servers: Vec<ServerDecl>,
    pub(crate) models: Vec<ModelDecl>,
    pub(crate) classes: Vec<ClassDecl>,
    pub(crate) accounts: Vec<AccountDecl>,
    /// What stands in the text but can't be read: the kind and the full name.
    pub(crate) broken: BTreeSet<(&'static str, String)>,
}
