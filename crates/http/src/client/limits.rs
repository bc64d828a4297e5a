//! Limits on requests to backend servers.

use crocushold_base::Millis;

/// Whether a request may be sent on a connection that carried earlier requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Uses a pooled connection if there is one.
    Allowed,
    /// Opens a new connection. A server may close a pooled connection as idle just as a request is
    /// written, which leaves unknown whether the request ran. Requests that must not run twice
    /// therefore use a new one.
    Fresh,
}

/// Limits on one request.
#[derive(Clone, Debug)]
pub struct SendLimits {
    /// The longest time to establish a connection.
    pub connect_timeout: Millis,
    /// The longest time without progress while writing the request.
    pub write_timeout: Millis,
    /// The longest time from the last byte of the request to the end of the answer's head.
    pub head_timeout: Millis,
    /// The longest time without progress while reading the answer's body.
    pub stall_timeout: Millis,
    /// The longest time for which the server may acknowledge nothing on TCP level, be it data or
    /// keep-alive probes. It is above the pauses of a server that goes on afterwards.
    pub ack_timeout: Millis,
    /// The longest body of an answer that isn't a stream of events, and the longest that any answer
    /// may announce, in bytes.
    pub answer_bytes: u64,
    /// The longest event of a stream of events, in bytes. A stream as a whole isn't bounded in bytes.
    pub event_bytes: u64,
    /// Whether an answer without framing headers may be delimited by the end of its connection. A
    /// server that crashes closes its connections in the same way, so such an answer is complete only
    /// if [`RelayBody::set_end_check`](crate::RelayBody::set_end_check) says so.
    pub close_delimited: bool,
}

impl Default for SendLimits {
    fn default() -> SendLimits {
        SendLimits {
            connect_timeout: Millis::from_secs(1),
            write_timeout: Millis::from_secs(10),
            head_timeout: Millis::from_secs(60),
            stall_timeout: Millis::from_secs(30),
            ack_timeout: Millis::from_secs(10),
            answer_bytes: 256 * 1024 * 1024,
            event_bytes: 16 * 1024 * 1024,
            close_delimited: false,
        }
    }
}

/// Limits on the connections that are kept for reuse.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// The most idle connections to one server.
    pub per_server: usize,
    /// The most idle connections to all servers together.
    pub total: usize,
    /// How long an idle connection is kept. It should be shorter than the servers' own idle
    /// timeout.
    pub idle_timeout: Millis,
}

impl Default for PoolLimits {
    fn default() -> PoolLimits {
        PoolLimits {
            per_server: 64,
            total: 1024,
            idle_timeout: Millis::from_secs(15),
        }
    }
}
