//! Refusals: the final answer to a request that is not run.

use std::fmt;

use crocushold_base::Millis;
use crocushold_base::RequestKey;

/// Why a request was refused. A refused request was never run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The class isn't configured, or was removed while the request was queued.
    UnknownClass,
    /// The account isn't configured, or was removed while the request was queued.
    UnknownAccount,
    /// The account exceeds its request rate.
    RequestRate,
    /// The account exceeds its token rate.
    TokenRate,
    /// The account has reached its limit of queued requests.
    AccountQueue,
    /// The queue is full and no queued request may be evicted for this one.
    QueueFull,
    /// The predicted wait is longer than the request can wait.
    TooLate,
    /// The request waited until an answer would be of no use.
    Expired,
    /// The request was evicted in favour of one of a higher-priority tier, or of an account with
    /// fewer queued requests.
    Displaced,
}

impl Reason {
    /// Machine-readable name, as reported to callers and in metrics.
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

    /// Whether the cause is a limit of the account rather than the load of the service.
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

/// The final answer to a request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time to wait before a retry; jittered, so that refused callers don't retry at the same time.
    pub retry_after: Millis,
}

/// A queued request that must now be answered with a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Key of the request; it is no longer valid.
    pub key: RequestKey,
    /// The answer to send.
    pub refusal: Refusal,
}
