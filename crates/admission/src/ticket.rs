//! Tickets of dispatched requests.
//!
//! The state is part of the type. Only a request that can't have run may be queued again or sent to
//! another server, and sending a request consumes the ticket that permits this.

use std::marker::PhantomData;

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::RequestKey;

/// Ticket state: taken from the queue, nothing written to a backend server yet.
#[derive(Debug)]
pub enum Dispatched {}

/// Ticket state: bytes may have reached a backend server.
#[derive(Debug)]
pub enum Sent {}

/// Proof that a request that was sent did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The connection failed before a byte was written.
    NothingWritten,
    /// The backend server answered that it did not run the request.
    ServerRefused,
}

/// Permission from the retry policy to send a request again although it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPermit;

/// A dispatched request. It occupies one slot until it is finished, queued again or cancelled by
/// key.
///
/// A ticket can't be copied, so one dispatch can't start a request twice.
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
    /// Key of the request.
    pub fn key(&self) -> RequestKey {
        self.key
    }

    /// Class of the request.
    pub fn class(&self) -> ClassKey {
        self.class
    }

    /// Account that sent the request.
    pub fn account(&self) -> AccountKey {
        self.account
    }

    /// Estimated cost charged at dispatch, in output tokens.
    pub fn charge(&self) -> u64 {
        self.charge
    }

    /// Consumes the ticket and returns its key.
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

    /// Marks the request as sent; call it just before the first byte is written. From then on the
    /// request can't be queued again without proof that it did not run.
    pub fn sent(self) -> Ticket<Sent> {
        self.into_state()
    }
}

impl Ticket<Sent> {
    /// Allows the request to be sent again although it may have run. It must be idempotent, and no
    /// part of an answer may have reached its caller.
    pub fn retry(self, _permit: RetryPermit) -> Ticket<Dispatched> {
        self.into_state()
    }

    /// Allows the request to be sent to another server, on proof that it did not run.
    pub fn not_run(self, _proof: NotRun) -> Ticket<Dispatched> {
        self.into_state()
    }
}
