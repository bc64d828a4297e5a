//! Errors of sent requests, with the stage that the request reached.

use std::error::Error;
use std::fmt;
use std::io;

use quick_error::quick_error;

/// The stage that a request reached.
///
/// The first two prove that the server can't have run it: no byte of it was written to the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No connection was established.
    NotConnected,
    /// A connection was established, but nothing was written to it.
    Connected,
    /// At least one byte of the request was written.
    Written,
    /// At least one byte of an answer arrived.
    Answered,
}

impl Stage {
    /// Whether the stage proves that the server didn't run the request.
    pub fn proves_unsent(self) -> bool {
        self <= Stage::Connected
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::NotConnected => "not-connected",
            Stage::Connected => "connected",
            Stage::Written => "written",
            Stage::Answered => "answered",
        })
    }
}

quick_error! {
    /// The cause of a failed request.
    #[derive(Debug)]
    pub enum SendErrorKind {
        /// No connection could be opened.
        Connect(cause: io::Error) {
            display("connecting failed: {cause}")
            source(cause)
        }
        /// No connection was established within the timeout.
        ConnectTimeout {
            display("connecting timed out")
        }
        /// The request couldn't be written.
        Write(cause: io::Error) {
            display("writing the request failed: {cause}")
            source(cause)
        }
        /// The server read nothing within the write timeout.
        WriteTimeout {
            display("the server stopped reading")
        }
        /// The source of the request's body failed.
        Body(cause: io::Error) {
            display("reading the request's body failed: {cause}")
            source(cause)
        }
        /// The connection was closed before the head of an answer was complete.
        Closed {
            display("the connection was closed before the answer's head was complete")
        }
        /// The head of the answer couldn't be read.
        Read(cause: io::Error) {
            display("reading the answer's head failed: {cause}")
            source(cause)
        }
        /// The head of the answer didn't arrive within the timeout.
        HeadTimeout {
            display("the answer's head didn't arrive in time")
        }
        /// The head of the answer is longer than the limit.
        HeadTooLarge {
            display("the answer's head is longer than the limit")
        }
        /// The head of the answer is malformed or can't be relayed.
        HeadMalformed(cause: String) {
            display("the answer's head is malformed: {cause}")
        }
        /// The announced body of the answer is longer than the limit.
        BodyTooLarge {
            display("the answer's announced length exceeds the limit")
        }
        /// The answer has no valid `Content-Length` and isn't chunked, so a truncated body would
        /// look complete.
        Unframed {
            display("the answer has no valid length and isn't chunked")
        }
    }
}

/// The failure of a request that got no answer.
#[derive(Debug)]
pub struct SendError {
    /// The stage that the request reached.
    pub stage: Stage,
    /// The cause.
    pub kind: SendErrorKind,
    /// Whether the connection had carried an earlier request. In that case the server may have
    /// closed it as idle just as the request was written.
    pub reused: bool,
}

impl SendError {
    /// Whether the connection was lost after at least one byte of the request was written.
    pub fn is_disconnect(&self) -> bool {
        let disconnected = matches!(
            self.kind,
            SendErrorKind::Closed | SendErrorKind::Write(_) | SendErrorKind::Read(_)
        );
        disconnected && !self.stage.proves_unsent()
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (stage {})", self.kind, self.stage)
    }
}

impl Error for SendError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        self.kind.source()
    }
}
