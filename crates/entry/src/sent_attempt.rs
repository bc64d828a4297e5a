//! An attempt that was sent to a backend server, and what its end shows about the server and the
//! request.

use std::net::SocketAddr;
use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::RequestContent;
use crocushold_routing::State;

use crate::coordination::CutAttempt;
use crate::coordination::Suspects;
use crate::pool::Pool;

/// An attempt that was sent to a backend server.
pub(crate) struct SentAttempt {
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) server: ServerKey,
    pub(crate) address: SocketAddr,
    /// What is asked.
    pub(crate) content: RequestContent,
    pub(crate) sent: Millis,
    /// When the head of the response arrived.
    pub(crate) began: Option<Millis>,
}

impl SentAttempt {
    /// Handles a connection that the server broke. `writing` is when the first piece of the body
    /// arrived.
    pub(crate) fn on_cut(&self, writing: Option<Millis>) {
        // A server that leaves as planned breaks the remaining connections at the end of its grace
        // period.
        if !self.is_leaving() {
            let cut = CutAttempt {
                content: self.content.clone(),
                address: self.address,
                sent: self.sent,
                began: self.began,
                writing,
            };
            self.suspects.on_cut(cut);
        }
    }

    /// Handles a response that was complete, and whose body began at `writing`.
    pub(crate) fn on_served(&self, writing: Option<Millis>) {
        let began = writing.or(self.began).unwrap_or(self.sent);
        self.suspects.on_served(&self.content, began);
    }

    /// Handles a server that goes on with a body that it began to write at `began`.
    pub(crate) fn on_survival(&self, began: Millis) {
        self.suspects.on_survival(&self.content, began);
    }

    fn is_leaving(&self) -> bool {
        let standing = self.pool.lock().router.standing(self.server);
        standing.is_none_or(|standing| matches!(standing.state, State::Leaving | State::Removed))
    }
}
