//! One request and its answer on a connection.

use std::sync::Arc;

use super::error::SendError;
use super::error::SendErrorKind;
use super::error::Stage;
use crate::connection::Connection;

/// A connection in use for one request and its answer.
pub(super) struct Exchange {
    pub(super) connection: Arc<Connection>,
    /// Bytes written to the connection before this request.
    pub(super) written_before: u64,
    pub(super) reused: bool,
}

impl Exchange {
    /// The stage reached while writing the request.
    pub(super) fn write_stage(&self) -> Stage {
        if self.connection.written() == self.written_before {
            Stage::Connected
        } else {
            Stage::Written
        }
    }

    /// The stage reached while waiting for the head of the answer.
    pub(super) fn head_stage(&self) -> Stage {
        if self.connection.has_unread() {
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
