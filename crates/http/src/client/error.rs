//! Why a request got no answer, and how far it came.

use std::error::Error;
use std::fmt;
use std::io;

use quick_error::quick_error;

/// How far a request came.
///
/// The first two prove that it can't have run: not one byte of it was given to the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// There was no connection.
    NotConnected,
    /// There was a connection, and nothing was written on it.
    Connected,
    /// At least one byte of the request was written.
    Written,
    /// At least one byte of an answer arrived.
    Answered,
}

impl Stage {
    /// Whether the request certainly didn't run.
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
    /// What went wrong.
    #[derive(Debug)]
    pub enum SendErrorKind {
        /// No connection could be opened.
        Connect(cause: io::Error) {
            display("connecting failed: {cause}")
            source(cause)
        }
        /// No connection was opened in time.
        ConnectTimeout {
            display("connecting took too long")
        }
        /// The request couldn't be written.
        Write(cause: io::Error) {
            display("writing failed: {cause}")
            source(cause)
        }
        /// The server took nothing for too long.
        WriteTimeout {
            display("the server stopped reading")
        }
        /// The body of the request failed.
        Body(cause: io::Error) {
            display("the request's body failed: {cause}")
            source(cause)
        }
        /// The connection ended before the head of an answer.
        Closed {
            display("the connection ended before an answer")
        }
        /// Reading the answer's head failed.
        Read(cause: io::Error) {
            display("reading failed: {cause}")
            source(cause)
        }
        /// The head of the answer didn't come in time.
        HeadTimeout {
            display("the answer's head took too long")
        }
        /// The head of the answer is too long.
        HeadTooLarge {
            display("the answer's head is too long")
        }
        /// The head of the answer isn't one that can be relayed.
        HeadMalformed(cause: String) {
            display("the answer's head is malformed: {cause}")
        }
        /// The answer's body has no length and no chunks, so a short one would look whole.
        Unframed {
            display("the answer's end can't be told from a cut")
        }
    }
}

/// A request that got no answer.
#[derive(Debug)]
pub struct SendError {
    /// How far the request came.
    pub stage: Stage,
    /// What went wrong.
    pub kind: SendErrorKind,
    /// Whether the connection had carried an earlier request. Its server may have closed it for
    /// being idle at the moment of the write.
    pub reused: bool,
}

impl SendError {
    /// Whether the server broke the connection off after a byte of the request had left.
    pub fn is_disconnect(&self) -> bool {
        let broken = matches!(
            self.kind,
            SendErrorKind::Closed | SendErrorKind::Write(_) | SendErrorKind::Read(_)
        );
        broken && !self.stage.proves_unsent()
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
