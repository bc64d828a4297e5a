//! Cutting an answer off from outside.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::wire::Wire;

/// Cuts the connection to the server, which cancels the request there.
#[derive(Clone)]
pub struct Cancel {
    wire: Arc<Mutex<Option<Arc<Wire>>>>,
}

impl Cancel {
    pub(crate) fn new(wire: Arc<Wire>) -> Cancel {
        Cancel {
            wire: Arc::new(Mutex::new(Some(wire))),
        }
    }

    /// Cuts the connection at once; without effect once the answer was read to its end.
    pub fn cancel(&self) {
        // The lock is held while cutting: otherwise the answer could end in between and the
        // connection carry another request, which the cut would hit.
        let mut wire = self.wire.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(wire) = wire.take() {
            wire.cut();
        }
    }

    /// Takes the connection out of reach.
    pub(crate) fn disarm(&self) {
        let mut wire = self.wire.lock().unwrap_or_else(PoisonError::into_inner);
        *wire = None;
    }
}

impl fmt::Debug for Cancel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Cancel").finish_non_exhaustive()
    }
}
