//! Watching an answer pass.

/// Why an answer ended before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutCause {
    /// The connection ended early.
    Short,
    /// Nothing came for too long.
    Stalled,
    /// It wasn't whole when the time for all of it had passed.
    Overdue,
    /// The chunks are malformed.
    Malformed,
    /// The socket failed.
    Failed,
}

impl CutCause {
    /// Whether the connection broke, rather than that the answer was too slow or no answer.
    pub fn is_disconnect(self) -> bool {
        matches!(self, CutCause::Short | CutCause::Failed)
    }
}

/// How an answer's body ended; `bytes` is what was read of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The server's answer was read to its end. Its last bytes may not have reached the caller yet.
    Complete {
        /// Bytes of the body.
        bytes: u64,
    },
    /// The server's answer broke off.
    Cut {
        /// Bytes of the body.
        bytes: u64,
        /// Why it broke off.
        cause: CutCause,
    },
    /// The reader gave up: the caller hung up or stalled, or the request was cancelled.
    Dropped {
        /// Bytes of the body.
        bytes: u64,
    },
}

/// Sees an answer's body as it passes.
pub trait Observer: Send + Sync {
    /// Called with each piece of the body, in order; pieces end at arbitrary places.
    fn chunk(&mut self, bytes: &[u8]);

    /// Called exactly once, whatever happens to the body.
    fn end(&mut self, end: AnswerEnd);
}
