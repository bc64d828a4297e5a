//! Errors of the peer node and of its calls.

use capnp::ErrorKind;
use quick_error::quick_error;

use crate::identity::InstanceId;

quick_error! {
    /// Error of starting a peer node.
    #[derive(Debug)]
    pub enum StartError {
        /// The address can't be bound, or the thread can't be started.
        Io(err: std::io::Error) {
            from()
            display("can't start the peer node: {}", err)
            source(err)
        }
    }
}

quick_error! {
    /// Reason why a call to a peer failed.
    ///
    /// Only [`CallError::NoPeer`], [`CallError::CircuitOpen`], [`CallError::Busy`] and
    /// [`CallError::Connect`] guarantee that the peer didn't receive the call.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// The peer isn't known.
        NoPeer {
            display("the peer isn't known")
        }
        /// The peer failed repeatedly, so the circuit breaker rejects the call.
        CircuitOpen {
            display("the circuit breaker is open after repeated failures")
        }
        /// Too many calls are pending.
        Busy {
            display("too many calls are pending")
        }
        /// Connecting or the handshake failed.
        Connect(reason: String) {
            display("can't connect: {}", reason)
        }
        /// Another instance answers at the peer's address.
        Replaced(found: InstanceId) {
            display("{} answers at the peer's address", found)
        }
        /// The peer runs a program that doesn't know the call, or its embedder refused it.
        Unsupported {
            display("the peer doesn't support this call")
        }
        /// The answer didn't arrive before the deadline.
        Deadline {
            display("the call timed out")
        }
        /// The connection was lost, or the peer answered with an error.
        Broken(reason: String) {
            display("the call failed: {}", reason)
        }
        /// The peer node was stopped.
        Stopped {
            display("the peer node was stopped")
        }
    }
}

impl CallError {
    /// Converts an error received in place of an answer.
    #[allow(clippy::needless_pass_by_value)] // signature required by map_err
    pub(crate) fn from_answer(err: capnp::Error) -> CallError {
        if err.kind == ErrorKind::Unimplemented {
            CallError::Unsupported
        } else {
            CallError::Broken(err.to_string())
        }
    }

    /// Returns whether the error is an answer of the peer, so that the peer is healthy.
    pub(crate) fn is_answer(&self) -> bool {
        *self == CallError::Unsupported
    }
}
