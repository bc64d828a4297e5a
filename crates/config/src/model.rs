//! The records that the catalog holds, with every reference resolved to a key.

use std::fmt;
use std::net::SocketAddr;

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_base::ServiceKey;

use crate::digest::KeyDigest;

/// A share of a whole in hundredths of a percent: 10,000 is the whole.
///
/// Integers, so that sums and comparisons give the same verdict on every machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(pub u32);

impl Share {
    /// The whole: 100 %.
    pub const WHOLE: Share = Share(10_000);

    /// The share as a fraction from 0.0 to 1.0.
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

/// The tier of a class: 1 is served first, 5 last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(u8);

impl Priority {
    /// The tier that is served first.
    pub const HIGHEST: Priority = Priority(1);

    /// The tier that is served last.
    pub const LOWEST: Priority = Priority(5);

    /// A priority from 1 to 5; nothing outside that range.
    pub fn new(tier: u8) -> Option<Priority> {
        let priority = Priority(tier);
        let known = (Priority::HIGHEST..=Priority::LOWEST).contains(&priority);
        known.then_some(priority)
    }

    /// The tier as a number from 1 to 5.
    pub const fn tier(self) -> u8 {
        self.0
    }

    /// The tier as an index from 0 to 4.
    pub const fn index(self) -> usize {
        (self.0 - 1) as usize
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The latency targets of a class: streamed (first token, between tokens) or whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    /// The longest wait for the first token.
    pub first_token: Option<Millis>,
    /// The longest gap between two tokens.
    pub between_tokens: Option<Millis>,
    /// The longest wait for the whole answer.
    pub whole_answer: Option<Millis>,
}

impl Targets {
    /// The target by which the first sign of an answer is due.
    pub fn earliest(&self) -> Option<Millis> {
        self.first_token.or(self.whole_answer)
    }
}

/// What a service's servers are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Engines that serve language models.
    Model,
    /// A plain service that takes any call under a path prefix.
    Plain {
        /// The path prefix, such as `/booking`; no slash at the end.
        prefix: String,
    },
}

impl ServiceKind {
    /// The word that the text uses.
    pub fn as_str(&self) -> &'static str {
        match self {
            ServiceKind::Model => "model",
            ServiceKind::Plain { .. } => "plain",
        }
    }
}

/// What an engine works on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Whole requests: prompts and tokens.
    Both,
    /// Prompts only.
    Prefill,
    /// Tokens only.
    Decode,
}

/// A group of backend servers that serve the same requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The full name, `TEAM/NAME`.
    pub name: String,
    /// Engines or a plain service.
    pub kind: ServiceKind,
    /// The services that this one calls in turn.
    pub depends: Vec<ServiceKey>,
    /// Its servers, ordered by name.
    pub servers: Vec<ServerKey>,
    /// Its models, ordered by name.
    pub models: Vec<ModelKey>,
    /// The classes that run on it, of every team, ordered by full name.
    pub classes: Vec<ClassKey>,
    /// How many loads a minute the weight store grants this service; zero for none.
    pub weight_loads: u32,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The full name, `TEAM/SERVICE/NAME`.
    pub name: String,
    /// The service it belongs to.
    pub service: ServiceKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// How many requests it runs at once.
    pub concurrency: u32,
    /// Whether it refuses an order that carries an old fencing number.
    pub checks_orders: bool,
    /// The role that it is to take; none where the text leaves that to the engine.
    pub role: Option<Role>,
}

/// One method and path pattern that a class binds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallPattern {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path's segments; `*` stands for any one segment.
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
    /// Its tier.
    pub priority: Priority,
    /// Its latency targets.
    pub targets: Targets,
    /// The share of its service that it gets even when higher tiers want everything.
    pub floor: Share,
    /// Whether a request may be run twice without harm.
    pub idempotent: bool,
    /// How often a request may be sent again; zero unless idempotent.
    pub retries: u32,
    /// How many requests may wait on one instance.
    pub queue: u32,
    /// The share of requests that is to meet the targets.
    pub objective: Share,
    /// The calls of a plain service that always belong to this class.
    pub calls: Vec<CallPattern>,
}

impl Class {
    /// The name without the team.
    pub fn short_name(&self) -> &str {
        short_name(&self.name)
    }
}

/// What a client account may use at once, over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests a second.
    pub requests: u32,
    /// Tokens a second, prompt and answer together.
    pub tokens: u32,
    /// Requests in progress.
    pub concurrency: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The full name, `TEAM/NAME`.
    pub name: String,
    /// The digests of its keys.
    pub digests: Vec<KeyDigest>,
    /// The classes it may use. The first one on a service is its default there.
    pub classes: Vec<ClassKey>,
    /// Its limits.
    pub limits: Limits,
}

impl Account {
    /// The team that declares the account.
    pub fn team(&self) -> &str {
        team_name(&self.name)
    }
}

/// A model that a service's engines load.
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
    /// On how many of the service's servers it is to be loaded.
    pub replicas: u32,
}

/// The keys that one account and one class of traffic lead to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// Who pays and whose limits count.
    pub account: AccountKey,
    /// The service level.
    pub class: ClassKey,
    /// The service that runs the request.
    pub service: ServiceKey,
    /// The model, for a service of engines.
    pub model: Option<ModelKey>,
    /// Whether the request may be run twice without harm.
    pub idempotent: bool,
    /// How often the request may be sent again.
    pub retries: u32,
}

/// The part of a full name before the first slash.
pub(crate) fn team_name(full: &str) -> &str {
    full.split('/').next().unwrap_or(full)
}

/// The part of a full name after the first slash.
pub(crate) fn short_name(full: &str) -> &str {
    full.split_once('/').map_or(full, |(_, name)| name)
}
