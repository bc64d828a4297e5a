//! Limits on the resources of callers.

use crocushold_base::MemoryBudget;
use crocushold_base::Millis;
use http_types::Response;
use http_types::StatusCode;

use super::refusal::plain_text;

/// The longest head that async-h1 parses, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;

/// Builds the answer to a request or connection that is refused before it reaches a handler, from
/// the status and the time to wait before a retry.
pub type RefusalFn = fn(StatusCode, Option<Millis>) -> Response;

/// The longest time until an answer is complete, set as an extension of the response.
///
/// It bounds an answer whose caller doesn't read it, or reads it slowly, for as long as its body has not ended. What
/// the body had at hand may still be written after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimeout(pub Millis);

/// The memory that the end of an answer frees, in bytes, set as an extension of the response.
///
/// An answer that isn't read may be ended where others need its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerMemory(pub u64);

/// When a caller that is waited for is behind. It is let go only where its connection, or its memory, is needed
/// for another caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// The longest time without progress: without a request, inside a head, or without the bytes of a body, or of an
    /// answer that waits to be read, that `min_rate` asks for.
    pub patience: Millis,
    /// The lowest rate at which the bytes of a body arrive, or those of an answer are read, in bytes a second.
    pub min_rate: u64,
}

impl WaitLimits {
    /// Of callers that send their request as soon as they are connected, such as operators and load balancers. One that
    /// doesn't makes room for the next one at once.
    pub const PROMPT: WaitLimits = WaitLimits {
        patience: Millis::ZERO,
        min_rate: u64::MAX,
    };
}

impl Default for WaitLimits {
    fn default() -> WaitLimits {
        WaitLimits {
            patience: Millis::from_secs(1),
            min_rate: 64 * 1024,
        }
    }
}

/// Limits on one connection.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// The longest head, in bytes. In a head longer than 8,191 bytes, the lines shorter than 256
    /// bytes may still take no more than 8,191.
    pub head_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: u64,
    /// The longest time from the first byte of a head to its end.
    pub head_timeout: Millis,
    /// The longest time to read the whole body of a request, from the call of
    /// [`read_body`](crate::read_body).
    pub body_timeout: Millis,
    /// The longest time between an answer and the next request.
    pub idle_timeout: Millis,
    /// How long an idle connection stays open after the start of a graceful shutdown. A request
    /// that was in transit at that moment is still answered.
    pub stop_grace: Millis,
    /// The longest time without progress while writing an answer.
    pub write_timeout: Millis,
    /// When a caller may be let go in favour of others.
    pub wait: WaitLimits,
    /// The memory of heads that are being read; `None` if it is bounded by the number of connections alone.
    pub head_memory: Option<MemoryBudget>,
    /// Builds the answer to what is refused before it reaches a handler. The server sets the
    /// framing and `Connection: close`.
    pub refuse: RefusalFn,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            head_bytes: MAX_HEAD_BYTES,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Millis::from_secs(10),
            body_timeout: Millis::from_secs(30),
            idle_timeout: Millis::from_secs(75),
            stop_grace: Millis(250),
            write_timeout: Millis::from_secs(30),
            wait: WaitLimits::default(),
            head_memory: None,
            refuse: plain_text,
        }
    }
}

/// What a listener does with connections that it can't serve in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverloadPolicy {
    /// Answers connections above the limit with 503. Others wait for processor time, however long.
    #[default]
    Answer,
    /// Closes connections above the limit, and those that wait for processor time for too long, without
    /// reading from them. It is for callers that try at once elsewhere when their request wasn't read.
    CloseUnread,
}

/// Limits on a listener.
#[derive(Clone, Debug)]
pub struct ListenerLimits {
    /// The most concurrent connections.
    pub max_connections: usize,
    /// What is done with connections that can't be served in time.
    pub overload: OverloadPolicy,
    /// The `Retry-After` of the answer to connections above the limit.
    pub retry_after: Millis,
    /// Limits on each connection.
    pub server: ServerLimits,
}

impl Default for ListenerLimits {
    fn default() -> ListenerLimits {
        ListenerLimits {
            max_connections: 10_000,
            overload: OverloadPolicy::default(),
            retry_after: Millis::from_secs(1),
            server: ServerLimits::default(),
        }
    }
}
