//! Observing an answer as it is relayed.

/// Why an answer was cut off before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutCause {
    /// The server closed the connection before the end of the body.
    Short,
    /// Nothing arrived within the stall timeout.
    Stalled,
    /// The body wasn't complete within the total timeout.
    Overdue,
    /// The chunked encoding is malformed, or its framing or trailers exceed their bounds.
    Malformed,
    /// The body, or one event of a stream, is longer than the limit.
    TooLarge,
    /// The socket failed.
    Failed,
    /// The connection that delimits a stream was closed inside an event.
    InsideEvent,
    /// The connection that delimits the answer was closed just after a long silence. A path that was
    /// cut may have held its end back for longer than the server has lived.
    HeldBack,
    /// The connection that delimits the answer was closed, and nothing shows that the answer was
    /// complete.
    Unproven,
}

impl CutCause {
    /// Whether the connection was lost, as opposed to an answer that was too slow or malformed.
    pub fn is_disconnect(self) -> bool {
        match self {
            CutCause::Short
            | CutCause::Failed
            | CutCause::InsideEvent
            | CutCause::HeldBack
            | CutCause::Unproven => true,
            CutCause::Stalled | CutCause::Overdue | CutCause::Malformed | CutCause::TooLarge => {
                false
            }
        }
    }

    /// Label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            CutCause::Short => "short",
            CutCause::Stalled => "stalled",
            CutCause::Overdue => "overdue",
            CutCause::Malformed => "malformed",
            CutCause::TooLarge => "too-large",
            CutCause::Failed => "failed",
            CutCause::InsideEvent => "inside-event",
            CutCause::HeldBack => "held-back",
            CutCause::Unproven => "unproven",
        }
    }
}

/// How an answer's body ended. `bytes` counts the part of it that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The server's answer was read to its end. Its last bytes may not have reached the caller yet.
    Complete {
        /// Bytes of the body.
        bytes: u64,
    },
    /// The server's answer was cut off.
    Cut {
        /// Bytes of the body.
        bytes: u64,
        /// Why it was cut off.
        cause: CutCause,
    },
    /// The body was dropped before its end: the caller disconnected or stalled, or the request was
    /// cancelled.
    Dropped {
        /// Bytes of the body.
        bytes: u64,
    },
}

impl AnswerEnd {
    /// Label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            AnswerEnd::Complete { .. } => "complete",
            AnswerEnd::Cut { cause, .. } => cause.label(),
            AnswerEnd::Dropped { .. } => "dropped",
        }
    }
}

/// Receives an answer's body as it is relayed.
pub trait Observer: Send + Sync {
    /// Called with each chunk of the body, in order. Chunks have arbitrary boundaries.
    fn chunk(&mut self, bytes: &[u8]);

    /// Called exactly once, however the body ends.
    fn end(&mut self, end: AnswerEnd);
}
