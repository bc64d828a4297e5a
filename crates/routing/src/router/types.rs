//! Input and output types of the router.

use std::error::Error;
use std::fmt;

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use serde::Deserialize;
use serde::Serialize;
use slotmap::new_key_type;

use crate::live_streams::LiveTicket;
use crate::region::RegionKey;
use crate::rest::Rest;
use crate::software::SoftwareKey;

new_key_type! {
    /// An attempt of a request at a server. The key contains a generation, so an event after the
    /// end of the attempt finds nothing.
    pub struct AttemptKey;
}

/// What a request needs from a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand<'a> {
    /// The model; `None` for a plain service.
    pub model: Option<ModelKey>,
    /// The hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// The tier's priority; lower values go first. Requests of the most urgent tier, 0, aren't used
    /// to test returning servers.
    pub priority: u8,
    /// Running it twice is harmless. Other requests aren't used to test returning servers either.
    pub idempotent: bool,
    /// Estimated tokens of prompt and answer; 0 if unknown.
    pub tokens: u32,
    /// Prompt tokens that no other request shares. If they are known, servers are chosen by the
    /// expected time to first token, else by the number of requests.
    pub unique_tokens: u32,
    /// Tokens of the prompt's prefix, which a server that has it cached doesn't prefill.
    pub prefix_tokens: u32,
    /// Maximum pause in its answer if it is a live stream.
    pub max_pause: Option<Millis>,
    /// An alternative model whose servers may take the request if those of `model` have a queue.
    pub spill: Option<Spill>,
    /// Maximum wait at a server; `None` for any. Applies only if `unique_tokens` is known.
    pub max_wait: Option<Millis>,
    /// How long the request has waited for a server to have room, if it is offered until one has.
    pub line_wait: Option<Millis>,
    /// The regions in which it may run; `None` for all.
    pub regions: Option<&'a [RegionKey]>,
    /// The software version at which it must run; `None` for any.
    pub software: Option<SoftwareKey>,
    /// Servers that were tried already.
    pub exclude: &'a [ServerKey],
    /// Servers that asked the sending instance for rest.
    pub resting: &'a [Rest],
    /// The availability zone of the sending instance; `None` for the router's own.
    pub zone: Option<&'a str>,
    /// Whether this router chooses for all instances. If so, it sees each request as it is placed,
    /// and all servers are compared by their exact queues. Otherwise a few servers are sampled, so
    /// that instances with partial information don't all choose the same one.
    pub central: bool,
    /// Whether this router may use paced servers at their rate. All other routers skip them.
    pub allow_paced: bool,
}

/// Spill-over of a request to the servers of another model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spill {
    /// The model that those servers hold.
    pub model: ModelKey,
    /// Minimum gain in time to first token, in milliseconds. It accounts for the effect of the
    /// request on the other requests of those servers.
    pub cost: f64,
}

/// A chosen server. A slot on it is taken until [`Router::done`](crate::Router::done).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The server.
    pub server: ServerKey,
    /// The attempt, for its events.
    pub attempt: AttemptKey,
    /// The first-byte timeout, from the connection on.
    pub first_byte_timeout: Millis,
    /// Another server from which this one should transfer the prefix instead of prefilling it.
    pub source: Option<ServerKey>,
    /// The expected wait at the server; zero if it isn't estimated.
    pub wait: Millis,
    /// Prompt tokens that the server is expected to prefill; zero if unknown.
    pub prefill_tokens: u32,
}

/// A server that another instance chose for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The server.
    pub server: ServerKey,
    /// Another server from which this one should transfer the prefix instead of prefilling it.
    pub source: Option<ServerKey>,
    /// The expected wait at the server.
    pub wait: Millis,
    /// Prompt tokens that the server is expected to prefill.
    pub prefill_tokens: u32,
}

/// No server can take the request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoServer {
    /// The reason.
    pub reason: Reason,
    /// Time until a retry.
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
    /// Every usable server is at its limit.
    Busy,
    /// Every server is ejected, leaving or gone.
    Out,
    /// The wait exceeds the request's maximum at every server.
    Late {
        /// The expected wait at the best server.
        wait: Millis,
    },
    /// All servers with free slots are cold and accept no more requests for now.
    Cold,
    /// All servers with free slots name limits and accept no more requests for now.
    Limited,
    /// All servers that could take the request asked the sending instance for rest.
    Resting,
    /// No usable server is in one of the allowed regions.
    Region,
    /// No usable server has the required software version.
    Software,
    /// Every usable server was tried already.
    Tried,
    /// The process was suspended, and the instance list hasn't been read since.
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
            Reason::Limited => "the servers that are free limit their requests",
            Reason::Resting => "the servers asked for rest",
            Reason::Region => "no server is in an allowed region",
            Reason::Software => "no server has the required software version",
            Reason::Tried => "all servers were tried",
            Reason::Stale => "the instance list is stale",
        })
    }
}

/// How an attempt ended. Instances exchange it as the index of the variant, so new variants must be
/// added at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// A whole answer arrived.
    Complete,
    /// This instance cancelled it because the caller left or a hedge won.
    Cancelled,
    /// The server refused the connection.
    Refused,
    /// No connection was established in time.
    Unreachable,
    /// The connection was cut.
    Cut,
    /// No first byte arrived in time, or the answer stalled.
    TimedOut,
    /// The server answered with an error.
    Failed,
    /// The server reported overload. Its limit is halved; if the overload persists while its peers
    /// have none, it is ejected.
    Overloaded,
    /// Another process answers at the server's address.
    Replaced,
    /// The server rejected it and asked the instance that sent it, for which this one chose, for rest. It
    /// counts as overload, but other instances' requests don't avoid the server for it.
    Resting,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub(super) server: ServerKey,
    /// The server's generation when the attempt started.
    pub(super) generation: u32,
    pub(super) pool: usize,
    pub(super) tokens: u32,
    /// Prompt tokens that the server is expected to prefill; zero if unknown.
    pub(super) prefill_tokens: f64,
    /// Whether that number is exact, because no part of the prompt may already be cached there for
    /// other requests.
    pub(super) is_exact: bool,
    /// Whether the expected wait is that of a router that sees all requests at the server. Otherwise a
    /// queue that it doesn't see can't be told from a slow server.
    pub(super) sees_queue: bool,
    /// Tokens that the server was expected to prefill before.
    pub(super) tokens_ahead: f64,
    /// The prompt's prefix.
    pub(super) prefix: Option<u64>,
    /// Its membership of the server's live streams, if it is one that prefills can delay.
    pub(super) live: Option<LiveTicket>,
    pub(super) picked_at: Millis,
    /// Since when it waits for a first byte.
    pub(super) waiting_since: Millis,
    pub(super) first_byte_at: Option<Millis>,
    /// Number of tokens at the last speed sample, and its time.
    pub(super) sampled_tokens: u32,
    pub(super) sampled_at: Millis,
}
