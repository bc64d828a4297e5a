//! Declarations in one edition of a team's part, with unresolved references.

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

/// The location of a declaration: the team, the section and the lines of its keys.
#[derive(Clone, Debug)]
pub(crate) struct Location {
    pub(crate) team: String,
    pub(crate) header: String,
    pub(crate) line: usize,
    keys: Vec<(String, usize)>,
}

impl Location {
    pub(crate) fn new(team: &str, section: &Section) -> Location {
        let keys = section.entries.iter();
        Location {
            team: team.to_owned(),
            header: section.header.clone(),
            line: section.line,
            keys: keys.map(|e| (e.key.clone(), e.line)).collect(),
        }
    }

    /// Creates a finding about `key`, at its line or, if the section doesn't have it, at the
    /// section's.
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

/// Another team that may use a service, and the maximum sum of its classes' floors there.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) team: String,
    pub(crate) share: Share,
}

#[derive(Clone, Debug)]
pub(crate) struct ServiceDecl {
    pub(crate) location: Location,
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
    pub(crate) location: Location,
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    /// `None` for the service's default.
    pub(crate) concurrency: Option<u32>,
    /// `None` for the service's default.
    pub(crate) checks_orders: Option<bool>,
    /// `None` for the service's default.
    pub(crate) role: Option<Role>,
}

#[derive(Clone, Debug)]
pub(crate) struct ModelDecl {
    pub(crate) location: Location,
    pub(crate) name: String,
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) weights: u64,
    pub(crate) replicas: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct ClassDecl {
    pub(crate) location: Location,
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
    pub(crate) location: Location,
    pub(crate) name: String,
    pub(crate) digests: Vec<KeyDigest>,
    pub(crate) classes: Vec<String>,
    pub(crate) limits: Limits,
}

/// All declarations of one edition. Names are full names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Declarations {
    pub(crate) services: Vec<ServiceDecl>,
    pub(crate) servers: Vec<ServerDecl>,
    pub(crate) models: Vec<ModelDecl>,
    pub(crate) classes: Vec<ClassDecl>,
    pub(crate) accounts: Vec<AccountDecl>,
    /// Kinds and full names of declarations that are in the text but can't be parsed.
    pub(crate) malformed: BTreeSet<(&'static str, String)>,
}
