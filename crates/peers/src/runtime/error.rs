//! Errors of the shell.

use capnp::ErrorKind;
use quick_error::quick_error;

use crate::identity::InstanceId;

quick_error! {
    /// Why a peer node couldn't start.
    #[derive(Debug)]
    pub enum StartError {
        /// The address can't be listened on, or the thread can't be started.
        Io(err: std::io::Error) {
            from()
            display("can't start the peer node: {}", err)
            source(err)
        }
    }
}

quick_error! {
    /// Why a call to a peer has no answer.
    ///
    /// Only [`CallError::NoPeer`], [`CallError::CircuitOpen`], [`CallError::Busy`] and
    /// [`CallError::Connect`] prove that the peer didn't get the call.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// The peer isn't known.
        NoPeer {
            display("the peer isn't known")
        }
        /// The peer failed repeatedly, so that it isn't asked for a while.
        CircuitOpen {
            display("the peer failed repeatedly and isn't asked for a while")
        }
        /// Too many calls wait.
        Busy {
            display("too many calls wait")
        }
        /// No connection, or no agreement on it.
        Connect(reason: String) {
            display("can't connect: {}", reason)
        }
        /// Another instance answers at the peer's address.
        Replaced(found: InstanceId) {
            display("{} answers at the peer's address", found)
        }
        /// The peer runs a program that doesn't know the call, or its embedder refuses it.
        Unsupported {
            display("the peer doesn't answer this call")
        }
        /// The answer didn't come in time.
        Deadline {
            display("the answer didn't come in time")
        }
        /// The connection broke, or the peer answered with an error.
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
    /// The meaning of an error in place of an answer.
    #[allow(clippy::needless_pass_by_value)] // the shape that map_err wants
    pub(crate) fn from_answer(err: capnp::Error) -> CallError {
        if err.kind == ErrorKind::Unimplemented {
            CallError::Unsupported
        } else {
            CallError::Broken(err.to_string())
        }
    }

    /// Whether the error shows that the peer answers, so that nothing is wrong with it.
    pub(crate) fn is_answer(&self) -> bool {
        *self == CallError::Unsupported
    }
}
