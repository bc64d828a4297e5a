//! Explains how a request of an account would be handled, and why.

use std::fmt;
use std::net::SocketAddr;

use crate::catalog::Catalog;
use crate::digest::Credential;
use crate::model::Class;
use crate::model::Limits;
use crate::model::Priority;
use crate::model::Resolved;
use crate::model::Server;
use crate::model::Share;
use crate::model::Targets;
use crate::resolve::Refusal;
use crate::resolve::Target;
use crate::resolve::resolve;
use crate::resolve::resolve_account;

/// Why a request is in its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassReason {
    /// The first class that the account lists on the service.
    Default,
    /// The service binds the call to the class.
    BoundCall,
    /// The caller requested it.
    Requested,
}

impl fmt::Display for ClassReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ClassReason::Default => "the first class that the account lists on this service",
            ClassReason::BoundCall => "the service binds this call to it",
            ClassReason::Requested => "the caller asked for it by x-class",
        })
    }
}

/// A server that may run the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The full name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_orders: bool,
}

/// How a request would be handled, with names instead of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The account's full name.
    pub account: String,
    /// Its limits.
    pub limits: Limits,
    /// The class's full name.
    pub class: String,
    /// Why the request is in that class.
    pub reason: ClassReason,
    /// The class's priority.
    pub priority: Priority,
    /// The class's targets.
    pub targets: Targets,
    /// The share of requests that should meet the targets.
    pub objective: Share,
    /// The class's guaranteed share of the service.
    pub floor: Share,
    /// Maximum queue length of the class on one instance.
    pub queue: u32,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Maximum number of retries.
    pub retries: u32,
    /// The service's full name.
    pub service: String,
    /// The model's full name, for a model service.
    pub model: Option<String>,
    /// The full names of the service's dependencies.
    pub depends: Vec<String>,
    /// The servers that may run it, ordered by name.
    pub servers: Vec<Candidate>,
}

/// Explains a request by the caller's credential.
///
/// # Errors
///
/// The [`Refusal`] that the request would get.
pub fn explain(
    catalog: &Catalog,
    credential: &Credential<'_>,
    target: Target<'_>,
    requested: Option<&str>,
) -> Result<Explanation, Refusal> {
    let resolved = resolve(catalog, credential, target, requested)?;
    let by_default = resolve_account(catalog, resolved.account, target, None)?;
    let reason = reason(catalog, &resolved, &by_default, target);
    Ok(describe(catalog, &resolved, reason))
}

fn reason(
    catalog: &Catalog,
    resolved: &Resolved,
    by_default: &Resolved,
    target: Target<'_>,
) -> ClassReason {
    if resolved.class != by_default.class {
        return ClassReason::Requested;
    }
    let account = &catalog.accounts[resolved.account];
    let classes = account.classes.iter().copied();
    let mut on_service = classes.filter(|&key| catalog.classes[key].service == resolved.service);
    let default = on_service.next();
    let bound = matches!(target, Target::Path { .. }) && default != Some(resolved.class);
    if bound {
        ClassReason::BoundCall
    } else {
        ClassReason::Default
    }
}

fn describe(catalog: &Catalog, resolved: &Resolved, reason: ClassReason) -> Explanation {
    let account = &catalog.accounts[resolved.account];
    let class: &Class = &catalog.classes[resolved.class];
    let service = &catalog.services[resolved.service];
    let model = resolved.model.map(|key| catalog.models[key].name.clone());
    let depends = service.depends.iter();
    let servers = service.servers.iter();
    Explanation {
        account: account.name.clone(),
        limits: account.limits,
        class: class.name.clone(),
        reason,
        priority: class.priority,
        targets: class.targets,
        objective: class.objective,
        floor: class.floor,
        queue: class.queue,
        idempotent: resolved.idempotent,
        retries: resolved.retries,
        service: service.name.clone(),
        model,
        depends: depends
            .map(|&key| catalog.services[key].name.clone())
            .collect(),
        servers: servers
            .map(|&key| candidate(&catalog.servers[key]))
            .collect(),
    }
}

fn candidate(server: &Server) -> Candidate {
    Candidate {
        name: server.name.clone(),
        address: server.address,
        zone: server.zone.clone(),
        concurrency: server.concurrency,
        checks_orders: server.checks_orders,
    }
}

/// Formats the explanation for operators, one property per line.
impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limits = &self.limits;
        writeln!(f, "account: {}", self.account)?;
        writeln!(
            f,
            "limits: {} requests/s, {} tokens/s, {} at once",
            limits.requests, limits.tokens, limits.concurrency
        )?;
        writeln!(f, "class: {} ({})", self.class, self.reason)?;
        writeln!(f, "priority: {}", self.priority)?;
        let targets = &self.targets;
        let named = [
            ("first token", targets.first_token),
            ("between tokens", targets.between_tokens),
            ("whole answer", targets.whole_answer),
        ];
        for (name, span) in named {
            if let Some(span) = span {
                writeln!(f, "{name}: {span} for {}", self.objective)?;
            }
        }
        writeln!(f, "floor: {}", self.floor)?;
        writeln!(f, "queue: {} on each instance", self.queue)?;
        let idempotent = if self.idempotent { "yes" } else { "no" };
        writeln!(f, "idempotent: {idempotent}, {} retries", self.retries)?;
        writeln!(f, "service: {}", self.service)?;
        if let Some(model) = &self.model {
            writeln!(f, "model: {model}")?;
        }
        for name in &self.depends {
            writeln!(f, "depends on: {name}")?;
        }
        for server in &self.servers {
            writeln!(
                f,
                "server: {} at {} in {}, {} at once",
                server.name, server.address, server.zone, server.concurrency
            )?;
        }
        Ok(())
    }
}
