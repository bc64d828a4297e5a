//! One attempt as a typestate.
//!
//! The type that may still be sent elsewhere is consumed by the first write, so a non-idempotent
//! request can't be sent twice by a slip in the daemon: the code wouldn't compile.
//!
//! ```compile_fail,E0382
//! use crocushold_routing::Attempt;
//! use crocushold_routing::Permit;
//! let attempt = Attempt::new(Permit::new(false));
//! let sent = attempt.write();
//! attempt.release(); // moved: a byte may have left
//! ```

use crate::retry::Stage;

/// The right to send a request once. Not `Clone`: whoever holds it is the only one that may send.
#[derive(Debug)]
pub struct Permit {
    idempotent: bool,
}

impl Permit {
    /// The permit of a request that was just accepted. Make one for each request.
    pub fn new(idempotent: bool) -> Permit {
        Permit { idempotent }
    }

    /// Whether the request is idempotent.
    pub fn idempotent(&self) -> bool {
        self.idempotent
    }
}

/// No byte of the request was written.
#[derive(Debug)]
pub struct Unsent {
    permit: Permit,
    connected: bool,
}

/// A byte of the request may have left.
#[derive(Debug)]
pub struct Sent {
    idempotent: bool,
    stage: Stage,
}

/// One attempt at a request.
#[derive(Debug)]
pub struct Attempt<S> {
    state: S,
}

impl Attempt<Unsent> {
    /// Starts an attempt with the request's permit.
    pub fn new(permit: Permit) -> Attempt<Unsent> {
        let connected = false;
        Attempt {
            state: Unsent { permit, connected },
        }
    }

    /// The connection stands.
    #[must_use]
    pub fn connected(mut self) -> Attempt<Unsent> {
        self.state.connected = true;
        self
    }

    /// Call before the first byte is handed to the socket, not after it succeeded.
    pub fn write(self) -> Attempt<Sent> {
        Attempt {
            state: Sent {
                idempotent: self.state.permit.idempotent,
                stage: Stage::Written,
            },
        }
    }

    /// Gives the permit back: the request provably didn't run and may be sent elsewhere.
    pub fn release(self) -> Permit {
        self.state.permit
    }

    /// How far it got.
    pub fn stage(&self) -> Stage {
        if self.state.connected {
            Stage::Connected
        } else {
            Stage::NotConnected
        }
    }
}

impl Attempt<Sent> {
    /// The head of an answer came.
    pub fn answered(&mut self) {
        self.state.stage = self.state.stage.max(Stage::Answered);
    }

    /// Call before the first byte of the answer is handed to the caller.
    pub fn relayed(&mut self) {
        self.state.stage = Stage::Relayed;
    }

    /// How far it got.
    pub fn stage(&self) -> Stage {
        self.state.stage
    }

    /// A permit to run the request again, for an idempotent one of which nothing was relayed.
    ///
    /// # Errors
    ///
    /// The stage, when the request may not be sent again.
    pub fn reissue(self) -> Result<Permit, Stage> {
        let Sent { idempotent, stage } = self.state;
        if idempotent && stage < Stage::Relayed {
            Ok(Permit::new(true))
        } else {
            Err(stage)
        }
    }
}
