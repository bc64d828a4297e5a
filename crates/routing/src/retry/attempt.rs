//! An attempt as a typestate.
//!
//! The value that allows sending the request elsewhere is consumed by the first write. A caller
//! that sends a non-idempotent request twice by mistake doesn't compile.
//!
//! ```compile_fail,E0382
//! use crocushold_routing::Attempt;
//! use crocushold_routing::Permit;
//! let attempt = Attempt::new(Permit::new(false));
//! let sent = attempt.write();
//! attempt.release(); // moved: a byte may have been sent
//! ```

use crate::retry::Stage;

/// The right to send a request once. It isn't `Clone`, so only its holder may send the request.
#[derive(Debug)]
pub struct Permit {
    idempotent: bool,
}

impl Permit {
    /// Creates the permit of a newly accepted request. Create exactly one for each request.
    pub fn new(idempotent: bool) -> Permit {
        Permit { idempotent }
    }

    /// Returns whether the request is idempotent.
    pub fn idempotent(&self) -> bool {
        self.idempotent
    }
}

/// State of an attempt of which no byte was written.
#[derive(Debug)]
pub struct Unsent {
    permit: Permit,
    connected: bool,
}

/// State of an attempt of which a byte may have been sent.
#[derive(Debug)]
pub struct Sent {
    idempotent: bool,
    stage: Stage,
}

/// An attempt to send a request.
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

    /// Records that the connection is established.
    #[must_use]
    pub fn connected(mut self) -> Attempt<Unsent> {
        self.state.connected = true;
        self
    }

    /// Records a write. Call it before the first byte is handed to the socket, not after the write
    /// succeeded.
    pub fn write(self) -> Attempt<Sent> {
        Attempt {
            state: Sent {
                idempotent: self.state.permit.idempotent,
                stage: Stage::Written,
            },
        }
    }

    /// Returns the permit: the request provably didn't run and may be sent elsewhere.
    pub fn release(self) -> Permit {
        self.state.permit
    }

    /// Returns the stage that the attempt reached.
    pub fn stage(&self) -> Stage {
        if self.state.connected {
            Stage::Connected
        } else {
            Stage::NotConnected
        }
    }
}

impl Attempt<Sent> {
    /// Records that the head of an answer arrived.
    pub fn answered(&mut self) {
        self.state.stage = self.state.stage.max(Stage::Answered);
    }

    /// Records that the answer is relayed. Call it before the first byte of the answer is handed to
    /// the caller.
    pub fn relayed(&mut self) {
        self.state.stage = Stage::Relayed;
    }

    /// Returns the stage that the attempt reached.
    pub fn stage(&self) -> Stage {
        self.state.stage
    }

    /// Returns a permit to run the request again if it is idempotent and nothing was relayed.
    ///
    /// # Errors
    ///
    /// Returns the stage if the request may not be sent again.
    pub fn reissue(self) -> Result<Permit, Stage> {
        let Sent { idempotent, stage } = self.state;
        if idempotent && stage < Stage::Relayed {
            Ok(Permit::new(true))
        } else {
            Err(stage)
        }
    }
}
