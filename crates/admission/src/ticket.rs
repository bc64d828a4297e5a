//! Tickets of started requests.
//!
//! The state is part of the type: only a request of which nothing can have run may be queued again
//! or sent elsewhere, and sending it consumes the ticket that allows this.

use std::marker::PhantomData;

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::RequestKey;

/// State of a ticket: taken from the queue, nothing written to a backend server yet.
#[derive(Debug)]
pub enum Dispatched {}

/// State of a ticket: bytes may have reached a backend server.
#[derive(Debug)]
pub enum Sent {}

/// Proof that a request which was sent did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The connection failed before a byte was written.
    NothingWritten,
    /// The backend server answered that it did not run the request.
    ServerRefused,
}

/// The word of the rule for repeats that a request may be sent again although it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPermit;

/// A started request. It occupies one slot until it is finished, queued again or cancelled by key.
///
/// A ticket can't be copied, so a request can't be started twice from one dispatch.
#[derive(Debug)]
#[must_use = "a ticket that is dropped leaves its slot taken; cancel the request by its key"]
pub struct Ticket<S> {
    key: RequestKey,
    class: ClassKey,
    account: AccountKey,
    charge: u64,
    state: PhantomData<S>,
}

impl<S> Ticket<S> {
    /// The request.
    pub fn key(&self) -> RequestKey {
        self.key
    }

    /// Its class.
    pub fn class(&self) -> ClassKey {
        self.class
    }

    /// The account that sent it.
    pub fn account(&self) -> AccountKey {
        self.account
    }

    /// The estimated cost in output tokens that was charged.
    pub fn charge(&self) -> u64 {
        self.charge
    }

    /// Gives the ticket up for the key; nothing else can be done with it afterwards.
    pub(crate) fn into_key(self) -> RequestKey {
        self.key
    }

    fn into_state<T>(self) -> Ticket<T> {
        Ticket {
            key: self.key,
            class: self.class,
            account: self.account,
            charge: self.charge,
            state: PhantomData,
        }
    }
}

impl Ticket<Dispatched> {
    pub(crate) fn new(
        key: RequestKey,
        class: ClassKey,
        account: AccountKey,
        charge: u64,
    ) -> Ticket<Dispatched> {
        Ticket {
            key,
            class,
            account,
            charge,
            state: PhantomData,
        }
    }

    /// Marks the request as sent, just before the first byte is written. From here on it can't be
    /// queued again without a proof that it did not run.
    pub fn sent(self) -> Ticket<Sent> {
        self.into_state()
    }
}

impl Ticket<Sent> {
    /// Takes the request back as one that may be sent a second time although it may have run: it is
    /// idempotent, and nothing of an answer went to its caller.
    pub fn retry(self, _permit: RetryPermit) -> Ticket<Dispatched> {
        self.into_state()
    }

    /// Takes the request back as one that may be sent elsewhere, on proof that it did not run.
    pub fn not_run(self, _proof: NotRun) -> Ticket<Dispatched> {
        self.into_state()
    }
}
