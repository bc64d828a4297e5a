//! An attempt that was sent to a backend server, and what its end shows about the server and the
//! request.

use std::net::SocketAddr;
use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Fingerprint;
use crocushold_routing::State;

use crate::coordination::Suspects;
use crate::pool::Pool;

/// An attempt that was sent to a backend server.
pub(crate) struct SentAttempt {
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) server: ServerKey,
    pub(crate) address: SocketAddr,
    /// Fingerprint of the request's content.
    pub(crate) content: Fingerprint,
    pub(crate) sent: Millis,
}

impl SentAttempt {
    /// Handles a connection that the server broke.
    pub(crate) fn on_cut(&self) {
        // A server that leaves as planned breaks the remaining connections at the end of its grace
        // period.
        if !self.is_leaving() {
            self.suspects.on_cut(self.content, self.address, self.sent);
        }
    }

    /// Handles a response that was complete.
    pub(crate) fn on_served(&self) {
        self.suspects.on_served(self.content);
    }

    fn is_leaving(&self) -> bool {
        let standing = self.pool.lock().router.standing(self.server);
        standing.is_none_or(|standing| matches!(standing.state, State::Leaving | State::Removed))
    }
}
