//! Cancellation of an answer in progress.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::connection::Connection;

/// Closes the connection to the server, which cancels the request there.
#[derive(Clone)]
pub struct Cancel {
    connection: Arc<Mutex<Option<Arc<Connection>>>>,
}

impl Cancel {
    pub(crate) fn new(connection: Arc<Connection>) -> Cancel {
        Cancel {
            connection: Arc::new(Mutex::new(Some(connection))),
        }
    }

    /// Closes the connection immediately. Has no effect after the answer was read to its end.
    pub fn cancel(&self) {
        // The lock is held during the shutdown. Otherwise the answer could end in between, and the
        // shutdown would hit the next request on the same connection.
        let mut connection = self
            .connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(connection) = connection.take() {
            connection.shutdown();
        }
    }

    /// Drops the connection, so that a later cancel has no effect.
    pub(crate) fn disarm(&self) {
        let mut connection = self
            .connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *connection = None;
    }
}

impl fmt::Debug for Cancel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Cancel").finish_non_exhaustive()
    }
}
