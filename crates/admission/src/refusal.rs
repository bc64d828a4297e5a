//! Refusals: the final answer of a request that won't run.

use std::fmt;

use crocushold_base::Millis;
use crocushold_base::RequestKey;

/// Why a request was refused. In every case it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The class isn't configured, or was removed while the request was queued.
    UnknownClass,
    /// The account isn't configured, or was removed while the request was queued.
    UnknownAccount,
    /// The account's request rate is used up.
    RequestRate,
    /// The account's token rate is used up.
    TokenRate,
    /// The account has its allowed number of requests queued.
    AccountQueue,
    /// The queue is full and nothing of a lower tier can give way.
    QueueFull,
    /// The predicted wait exceeds what the request can still wait.
    TooLate,
    /// The request waited until an answer is of no use.
    Expired,
    /// The request gave way to one of a higher tier, or of an account with less queued.
    Displaced,
}

impl Reason {
    /// The machine-readable name that callers and metrics see.
    pub fn name(self) -> &'static str {
        match self {
            Reason::UnknownClass => "unknown-class",
            Reason::UnknownAccount => "unknown-account",
            Reason::RequestRate => "request-rate",
            Reason::TokenRate => "token-rate",
            Reason::AccountQueue => "account-queue",
            Reason::QueueFull => "queue-full",
            Reason::TooLate => "too-late",
            Reason::Expired => "expired",
            Reason::Displaced => "displaced",
        }
    }

    /// Whether the account's own limits are the cause rather than the load of the service.
    pub fn is_limit(self) -> bool {
        matches!(
            self,
            Reason::RequestRate | Reason::TokenRate | Reason::AccountQueue
        )
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The final answer of a request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// The time to wait before a retry; jittered, so that refused callers don't return together.
    pub retry_after: Millis,
}

/// A queued request that must now be answered with its refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The request; its key is already void.
    pub key: RequestKey,
    /// The answer.
    pub refusal: Refusal,
}
