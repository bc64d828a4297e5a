//! Calls by which instances coordinate: ownership of idempotency keys and lent tokens.
//!
//! This crate carries the calls; what they mean is decided by the [`Handler`] that the embedder
//! gives.

use std::sync::Arc;

use crocushold_base::Millis;

use crate::identity::InstanceId;

/// A 128-bit hash of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u128);

/// What the owner of a key says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Not known; also what a verdict of a newer version reads as.
    Unknown,
    /// The claimant may run the request.
    Granted,
    /// Ask again after the stated wait.
    Wait,
    /// Another claimant is running the request.
    Running,
    /// The request ran.
    Ran,
    /// The asked instance doesn't own the key.
    NotOwner,
    /// The owner has no room to remember the key.
    Full,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It may or may not have run; also what an outcome of a newer version reads as.
    Unknown,
    /// It ran.
    Ran,
    /// It certainly didn't run.
    NotRun,
}

/// A call to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Claims a key.
    Claim {
        /// The key.
        key: KeyHash,
        /// Who wants to run the request.
        claimant: InstanceId,
        /// Digest of the claimant's live view.
        view_digest: u64,
    },
    /// States the outcome of a claimed request.
    Settle {
        /// The key.
        key: KeyHash,
        /// The outcome.
        outcome: Outcome,
    },
    /// Asks for tokens of an account.
    Borrow {
        /// The account's name.
        account: Arc<str>,
        /// Tokens wanted.
        tokens: u64,
    },
    /// Gives tokens of an account back.
    GiveBack {
        /// The account's name.
        account: Arc<str>,
        /// Tokens not used.
        tokens: u64,
    },
}

/// The answer to a [`Request`] of the same kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// Answer to a claim.
    Claimed {
        /// The verdict.
        verdict: Verdict,
        /// When to ask again.
        wait: Millis,
    },
    /// A settlement or returned tokens were taken in.
    Done,
    /// Answer to a wish for tokens.
    Lent {
        /// Tokens lent; zero when there are none.
        granted: u64,
        /// When they expire, counted by the lender from its answer.
        expires: Millis,
    },
    /// The handler doesn't know the call.
    Refused,
}

/// Answers the calls of peers. Runs on the thread that serves all peers, so it must not block.
pub trait Handler: Send + Sync + 'static {
    /// Answers a call by the peer `from`.
    fn handle(&self, from: &InstanceId, request: Request) -> Response;
}

/// A handler that refuses every call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refuse;

impl Handler for Refuse {
    fn handle(&self, _from: &InstanceId, _request: Request) -> Response {
        Response::Refused
    }
}

impl Verdict {
    pub(crate) const ALL: [Verdict; 7] = [
        Verdict::Unknown,
        Verdict::Granted,
        Verdict::Wait,
        Verdict::Running,
        Verdict::Ran,
        Verdict::NotOwner,
        Verdict::Full,
    ];

    pub(crate) fn code(self) -> u16 {
        self as u16
    }

    pub(crate) fn from_code(code: u16) -> Verdict {
        let known = Verdict::ALL.get(usize::from(code));
        known.copied().unwrap_or(Verdict::Unknown)
    }
}

impl Outcome {
    pub(crate) fn code(self) -> u16 {
        self as u16
    }

    pub(crate) fn from_code(code: u16) -> Outcome {
        match code {
            1 => Outcome::Ran,
            2 => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }
}
