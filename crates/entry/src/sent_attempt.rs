//! One send of a request to a backend server, and what its end says of either.

use std::net::SocketAddr;
use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Fingerprint;
use crocushold_routing::State;

use crate::coordination::Suspects;
use crate::pool::Pool;

/// One send of a request to a backend server.
pub(crate) struct SentAttempt {
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) server: ServerKey,
    pub(crate) address: SocketAddr,
    /// What was asked.
    pub(crate) content: Fingerprint,
    pub(crate) sent: Millis,
}

impl SentAttempt {
    /// The server broke the connection off.
    pub(crate) fn on_cut(&self) {
        // A planned end cuts what is left at the end of its grace.
        if !self.is_leaving() {
            self.suspects.on_cut(self.content, self.address, self.sent);
        }
    }

    /// The answer came whole.
    pub(crate) fn on_served(&self) {
        self.suspects.on_served(self.content);
    }

    fn is_leaving(&self) -> bool {
        let standing = self.pool.lock().router.why(self.server);
        standing.is_none_or(|standing| matches!(standing.state, State::Leaving | State::Removed))
    }
}
