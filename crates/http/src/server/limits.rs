//! Bounds on what callers can send and hold.

use crocushold_base::Millis;
use http_types::Response;
use http_types::StatusCode;

use super::refusal::plain;

/// The longest head that async-h1 parses, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;

/// Makes the answer to what never becomes a request, from its status and when to come back. No handler
/// saw anything of it.
pub type RefusalFn = fn(StatusCode, Option<Millis>) -> Response;

/// Bounds on one connection.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// The longest head, in bytes. Above 8,191 its short lines may still take no more than that.
    pub head_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: u64,
    /// From the first byte of a head to its end.
    pub head_timeout: Millis,
    /// For the whole body of a request, counted from when it is asked for.
    pub body_timeout: Millis,
    /// Between one answer and the next request.
    pub idle_timeout: Millis,
    /// How long an idle connection stays open after a graceful stop began. A request that was on its
    /// way at that moment is still answered.
    pub stop_grace: Millis,
    /// How long a caller may take nothing while bytes wait for it.
    pub write_timeout: Millis,
    /// What is answered to that which never becomes a request; its framing and `Connection: close` are
    /// set by the server.
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
            refuse: plain,
        }
    }
}

/// Bounds on a listener.
#[derive(Clone, Debug)]
pub struct ListenerLimits {
    /// Connections at a time; one above it is answered 503 and closed.
    pub max_connections: usize,
    /// The `Retry-After` of that answer.
    pub retry_after: Millis,
    /// Bounds on each connection.
    pub server: ServerLimits,
}

impl Default for ListenerLimits {
    fn default() -> ListenerLimits {
        ListenerLimits {
            max_connections: 10_000,
            retry_after: Millis::from_secs(1),
            server: ServerLimits::default(),
        }
    }
}
