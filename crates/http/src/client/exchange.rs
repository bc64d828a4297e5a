//! One request and its answer on one connection.

use std::sync::Arc;

use super::error::SendError;
use super::error::SendErrorKind;
use super::error::Stage;
use crate::wire::Wire;

/// A connection on its way through one exchange.
pub(super) struct Exchange {
    pub(super) wire: Arc<Wire>,
    /// What the connection had written before this request.
    pub(super) written: u64,
    pub(super) reused: bool,
}

impl Exchange {
    pub(super) fn stage(&self) -> Stage {
        if self.wire.written() == self.written {
            Stage::Connected
        } else {
            Stage::Written
        }
    }

    /// The stage while the head of the answer is awaited.
    pub(super) fn answered(&self) -> Stage {
        if self.wire.has_unread() {
            Stage::Answered
        } else {
            Stage::Written
        }
    }

    pub(super) fn error(&self, stage: Stage, kind: SendErrorKind) -> SendError {
        SendError {
            stage,
            kind,
            reused: self.reused,
        }
    }
}
