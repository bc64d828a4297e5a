//! What goes into and comes out of a router.

use std::error::Error;
use std::fmt;

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use serde::Deserialize;
use serde::Serialize;
use slotmap::new_key_type;

use crate::region::RegionKey;

new_key_type! {
    /// One attempt of a request at a server. Carries a generation: an event that comes after the
    /// attempt is done finds nothing.
    pub struct AttemptKey;
}

/// What a request needs of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand<'a> {
    /// The model; `None` for a plain service.
    pub model: Option<ModelKey>,
    /// The hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// The tier's priority; lower is sooner. The most urgent tier, 0, isn't used to try out servers
    /// that just came back.
    pub priority: u8,
    /// Running it twice does no harm. Others aren't used to try out servers either.
    pub idempotent: bool,
    /// Estimated tokens of prompt and answer; 0 where nothing is known.
    pub tokens: u32,
    /// Tokens of the prompt that no other request shares. Where these are known, the choice goes by
    /// when the answer is expected to begin, else by the number of requests.
    pub unique_tokens: u32,
    /// Tokens of the prompt's prefix, which a server that keeps it doesn't read.
    pub prefix_tokens: u32,
    /// The longest pause that its answer may make, where it is a live stream.
    pub max_pause: Option<Millis>,
    /// Servers that hold this model, too, may take the request where those of `model` have a queue.
    pub spill: Option<Spill>,
    /// The longest wait at a server with which the answer is of use; `None` for any. Kept to only where
    /// `own` is known.
    pub max_wait: Option<Millis>,
    /// The regions in which it may run; `None` for any.
    pub regions: Option<&'a [RegionKey]>,
    /// Servers that were tried already.
    pub exclude: &'a [ServerKey],
    /// The availability zone of the instance that sends it; `None` for the router's own.
    pub zone: Option<&'a str>,
    /// Whether this router chooses for all instances. It then sees each request as it is placed, and all
    /// servers are weighed by their exact queues; else a few are drawn, so that instances that know little
    /// don't all choose the same one.
    pub central: bool,
    /// Whether this router spends the rate at which cold servers take requests. All others pass them over.
    pub allow_cold: bool,
}

/// Servers that take a request where its own have a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spill {
    /// The model that they hold.
    pub model: ModelKey,
    /// How much sooner the answer must begin there, in milliseconds: what the request does to the
    /// others that those servers have.
    pub cost: f64,
}

/// A chosen server; a slot on it is taken until [`Router::done`](crate::Router::done).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The server.
    pub server: ServerKey,
    /// The attempt, for its events.
    pub attempt: AttemptKey,
    /// How long to wait for the first byte of an answer, from the connection on.
    pub first_byte_timeout: Millis,
    /// Another server, from which this one should bring the prefix instead of reading it.
    pub source: Option<ServerKey>,
    /// How long the request is expected to wait at the server; zero where that isn't estimated.
    pub wait: Millis,
    /// Tokens of the prompt that the server is expected to read; zero where that isn't known.
    pub prefill_tokens: u32,
}

/// A server that another instance chose for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The server.
    pub server: ServerKey,
    /// Another server, from which this one should bring the prefix instead of reading it.
    pub source: Option<ServerKey>,
    /// How long the request is expected to wait at the server.
    pub wait: Millis,
    /// Tokens of the prompt that the server is expected to read.
    pub prefill_tokens: u32,
}

/// No server can take the request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoServer {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Millis,
}

impl fmt::Display for NoServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; retry after {}", self.reason, self.retry_after)
    }
}

impl Error for NoServer {}

/// Why no server can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No configured server holds the model.
    NoModel,
    /// Every server that is in is at its limit.
    Busy,
    /// Every server is out, leaving or gone.
    Out,
    /// At every server the wait is longer than the request's limit.
    Late {
        /// The expected wait at the best one.
        wait: Millis,
    },
    /// Those that aren't full are cold, and take no more for the moment.
    Cold,
    /// No server that is in is in one of its regions.
    Region,
    /// Every server that is in was tried already.
    Tried,
    /// The process woke late, and the instance list wasn't read since.
    Stale,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::NoModel => "no server holds the model",
            Reason::Busy => "all servers are busy",
            Reason::Out => "all servers are out",
            Reason::Late { .. } => "the wait is too long everywhere",
            Reason::Cold => "the servers that are free are cold",
            Reason::Region => "no server is in an allowed region",
            Reason::Tried => "all servers were tried",
            Reason::Stale => "the instance list is stale",
        })
    }
}

/// How an attempt ended. It is told between instances as the number of its place here: new ones come last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// A whole answer came.
    Complete,
    /// This instance gave it up: the caller left, or a hedge won.
    Cancelled,
    /// The server refused the connection.
    Refused,
    /// No connection was made in time.
    Unreachable,
    /// The connection was cut.
    Cut,
    /// No first byte came in time, or the answer stalled.
    TimedOut,
    /// The server answered with an error of its own.
    Failed,
    /// The server answered that it is overloaded. It gets half as much at a time; when it goes on
    /// while its peers don't, it is ejected.
    Overloaded,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub(super) server: ServerKey,
    /// The server's life at the time.
    pub(super) life: u32,
    pub(super) pool: usize,
    pub(super) tokens: u32,
    /// Tokens of the prompt that the server is expected to read; zero where that isn't known.
    pub(super) read: f64,
    /// Whether that is sure: it has no part that others may have had read there.
    pub(super) sure: bool,
    /// Tokens that the server was expected to read before.
    pub(super) ahead: f64,
    /// The prompt's prefix.
    pub(super) prefix: Option<u64>,
    pub(super) picked: Millis,
    /// Since when it waits for a first byte.
    pub(super) waits: Millis,
    pub(super) first: Option<Millis>,
    /// Tokens, and when they had come, at the last sample of the pace.
    pub(super) sampled: u32,
    pub(super) sampled_at: Millis,
}
