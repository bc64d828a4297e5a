//! Detecting that a caller disconnected.

use std::fmt;
use std::sync::Arc;

use crate::connection::Connection;

/// Reports when the caller of a request closes its connection.
///
/// A caller that closes only its sending side also counts as disconnected: the two cases can't be
/// distinguished until something is written.
#[derive(Clone)]
pub struct Hangup {
    connection: Arc<Connection>,
}

impl Hangup {
    pub(crate) fn new(connection: Arc<Connection>) -> Hangup {
        Hangup { connection }
    }

    /// Resolves once the caller has closed its connection, and otherwise not before the request is
    /// answered.
    ///
    /// The end of the stream is visible only after the bytes that the caller sent after the request
    /// (pipelined requests). Up to 16 KiB of them are buffered; behind more than that, a disconnect
    /// is detected only by a failed write.
    pub async fn wait(&self) {
        self.connection.closed().await;
    }
}

impl fmt::Debug for Hangup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Hangup").finish_non_exhaustive()
    }
}
