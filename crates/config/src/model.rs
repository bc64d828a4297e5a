//! The records of the catalog, with references resolved to keys.

use std::fmt;
use std::net::SocketAddr;

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_base::ServiceKey;

use crate::digest::KeyDigest;

/// A share in hundredths of a percent, up to 10,000 for 100 %.
///
/// An integer, so that sums and comparisons have the same result on every machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(pub u32);

impl Share {
    /// The whole: 100 %.
    pub const WHOLE: Share = Share(10_000);

    /// Returns the share as a fraction from 0.0 to 1.0.
    pub fn as_fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Share::WHOLE.0)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.0 / 100;
        let rest = self.0 % 100;
        if rest == 0 {
            write!(f, "{whole} %")
        } else {
            write!(f, "{whole}.{rest:02} %")
        }
    }
}

/// The priority of a class, from 1 (served first) to 5 (served last).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(u8);

impl Priority {
    /// The priority that is served first.
    pub const HIGHEST: Priority = Priority(1);

    /// The priority that is served last.
    pub const LOWEST: Priority = Priority(5);

    /// Creates a priority; `None` unless `tier` is from 1 to 5.
    pub fn new(tier: u8) -> Option<Priority> {
        let priority = Priority(tier);
        let known = (Priority::HIGHEST..=Priority::LOWEST).contains(&priority);
        known.then_some(priority)
    }

    /// Returns the priority as a number from 1 to 5.
    pub const fn tier(self) -> u8 {
        self.0
    }

    /// Returns the priority as an index from 0 to 4.
    pub const fn index(self) -> usize {
        (self.0 - 1) as usize
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The latency targets of a class, for streamed answers and for whole ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    /// Maximum time to the first token.
    pub first_token: Option<Millis>,
    /// Maximum time between two tokens.
    pub between_tokens: Option<Millis>,
    /// Maximum time to the complete answer.
    pub whole_answer: Option<Millis>,
}

impl Targets {
    /// Returns the target for the first token or, if there is none, for the whole answer.
    pub fn earliest(&self) -> Option<Millis> {
        self.first_token.or(self.whole_answer)
    }
}

/// The kind of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Inference engines that serve language models.
    Model,
    /// An HTTP service that handles all calls under a path prefix.
    Plain {
        /// The path prefix without a trailing slash, such as `/booking`.
        prefix: String,
    },
}

impl ServiceKind {
    /// Returns the name in the configuration.
    pub fn as_str(&self) -> &'static str {
        match self {
            ServiceKind::Model => "model",
            ServiceKind::Plain { .. } => "plain",
        }
    }
}

/// The inference phases that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Prefill and decode: runs whole requests.
    Both,
    /// Prefill only: processes prompts.
    Prefill,
    /// Decode only: generates tokens.
    Decode,
}

/// A group of backend servers that serve the same requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The full name, `TEAM/NAME`.
    pub name: String,
    /// Model service or plain service.
    pub kind: ServiceKind,
    /// The services that it depends on.
    pub depends: Vec<ServiceKey>,
    /// Its servers, ordered by name.
    pub servers: Vec<ServerKey>,
    /// Its models, ordered by name.
    pub models: Vec<ModelKey>,
    /// The classes of all teams that run on it, ordered by full name.
    pub classes: Vec<ClassKey>,
    /// Maximum rate at which the service may load weights from the weight store, per minute; zero
    /// for none.
    pub weight_loads: u32,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The full name, `TEAM/SERVICE/NAME`.
    pub name: String,
    /// The service it belongs to.
    pub service: ServiceKey,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_orders: bool,
    /// The role that it should have; `None` if the engine chooses it.
    pub role: Option<Role>,
}

/// A method and path pattern that is bound to a class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallPattern {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path's segments; `*` matches any single segment.
    pub segments: Vec<String>,
}

impl fmt::Display for CallPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} /{}", self.method, self.segments.join("/"))
    }
}

/// A class of requests: one service level and priority on one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The full name, `TEAM/NAME`.
    pub name: String,
    /// The service that runs its requests.
    pub service: ServiceKey,
    /// Its priority.
    pub priority: Priority,
    /// Its latency targets.
    pub targets: Targets,
    /// The guaranteed share of the service, even under load of higher priority.
    pub floor: Share,
    /// Whether its requests are idempotent.
    pub idempotent: bool,
    /// Maximum number of retries; zero unless idempotent.
    pub retries: u32,
    /// Maximum queue length on one instance.
    pub queue: u32,
    /// The share of requests that should meet the targets.
    pub objective: Share,
    /// The calls of a plain service that are bound to this class.
    pub calls: Vec<CallPattern>,
}

impl Class {
    /// Returns the name without the team.
    pub fn short_name(&self) -> &str {
        short_name(&self.name)
    }
}

/// The limits of a client account over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests per second.
    pub requests: u32,
    /// Tokens per second, of prompts and answers together.
    pub tokens: u32,
    /// Maximum number of requests in progress.
    pub concurrency: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The full name, `TEAM/NAME`.
    pub name: String,
    /// The digests of its keys.
    pub digests: Vec<KeyDigest>,
    /// The classes that it may use. The first one on a service is the default there.
    pub classes: Vec<ClassKey>,
    /// Its limits.
    pub limits: Limits,
}

impl Account {
    /// Returns the team that declares the account.
    pub fn team(&self) -> &str {
        team_name(&self.name)
    }
}

/// A model of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The full name, `TEAM/SERVICE/NAME`.
    pub name: String,
    /// The name that callers and engines use.
    pub id: String,
    /// The service that serves it.
    pub service: ServiceKey,
    /// The size of its weights in bytes.
    pub weights: u64,
    /// Number of the service's servers that should load it.
    pub replicas: u32,
}

/// The result of resolving a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// The account that the request is charged to and whose limits apply.
    pub account: AccountKey,
    /// The class of the request.
    pub class: ClassKey,
    /// The service that runs the request.
    pub service: ServiceKey,
    /// The model, for a model service.
    pub model: Option<ModelKey>,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Maximum number of retries.
    pub retries: u32,
}

/// Returns the part of a full name before the first slash.
pub(crate) fn team_name(full: &str) -> &str {
    full.split('/').next().unwrap_or(full)
}

/// Returns the part of a full name after the first slash.
pub(crate) fn short_name(full: &str) -> &str {
    full.split_once('/').map_or(full, |(_, name)| name)
}
