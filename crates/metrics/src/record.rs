//! The measurements of finished requests.

use crocushold_base::Millis;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestEnd {
    /// The caller received the whole answer.
    Completed,
    /// The answer was cut off after a part of it was relayed.
    Cut,
    /// The request was refused and didn't run.
    Refused(RefusalReason),
    /// The caller disconnected before the answer was complete.
    Cancelled,
    /// The request may have run, but its answer was lost.
    Unknown,
}

impl RequestEnd {
    /// The value of the `end` label.
    pub const fn label(self) -> &'static str {
        match self {
            RequestEnd::Completed => "completed",
            RequestEnd::Cut => "cut",
            RequestEnd::Refused(_) => "refused",
            RequestEnd::Cancelled => "cancelled",
            RequestEnd::Unknown => "unknown",
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The fleet has no capacity left for the class.
    Overload,
    /// The queue of the class is full.
    QueueFull,
    /// The queue is so long that the latency target can't be met.
    Deadline,
    /// The client account exceeds its rate or concurrency limit.
    AccountLimit,
    /// No backend server of the service is usable.
    NoServer,
    /// Backend servers crashed while processing requests with the same content.
    Quarantined,
    /// The instance is shutting down.
    Draining,
    /// Another request with the same idempotency key is running or has run.
    Duplicate,
    /// The request is malformed, too large or not authorised, or names an unknown model.
    Invalid,
}

impl RefusalReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [RefusalReason; 9] = [
        RefusalReason::Overload,
        RefusalReason::QueueFull,
        RefusalReason::Deadline,
        RefusalReason::AccountLimit,
        RefusalReason::NoServer,
        RefusalReason::Quarantined,
        RefusalReason::Draining,
        RefusalReason::Duplicate,
        RefusalReason::Invalid,
    ];

    /// The value of the `reason` label.
    pub const fn label(self) -> &'static str {
        match self {
            RefusalReason::Overload => "overload",
            RefusalReason::QueueFull => "queue-full",
            RefusalReason::Deadline => "deadline",
            RefusalReason::AccountLimit => "account-limit",
            RefusalReason::NoServer => "no-server",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::Draining => "draining",
            RefusalReason::Duplicate => "duplicate",
            RefusalReason::Invalid => "invalid",
        }
    }

    /// Whether the refusal spends the error budget of the class.
    ///
    /// A refusal caused by the caller (its limit, its duplicate, a malformed request) doesn't count
    /// for the service level.
    pub const fn spends_budget(self) -> bool {
        match self {
            RefusalReason::Overload
            | RefusalReason::QueueFull
            | RefusalReason::Deadline
            | RefusalReason::NoServer
            | RefusalReason::Draining => true,
            RefusalReason::AccountLimit
            | RefusalReason::Quarantined
            | RefusalReason::Duplicate
            | RefusalReason::Invalid => false,
        }
    }
}

/// Why compute was wasted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WasteCause {
    /// The caller disconnected.
    CallerGone,
    /// The backend server cut its answer off.
    Cut,
    /// The request was retried on another backend server.
    Retried,
    /// A whole answer arrived, but the caller no longer waited for it.
    Discarded,
    /// The slower attempt of a hedged request.
    Hedge,
}

impl WasteCause {
    /// All causes, in the order of their discriminants.
    pub const ALL: [WasteCause; 5] = [
        WasteCause::CallerGone,
        WasteCause::Cut,
        WasteCause::Retried,
        WasteCause::Discarded,
        WasteCause::Hedge,
    ];

    /// The value of the `cause` label.
    pub const fn label(self) -> &'static str {
        match self {
            WasteCause::CallerGone => "caller_gone",
            WasteCause::Cut => "cut",
            WasteCause::Retried => "retried",
            WasteCause::Discarded => "discarded",
            WasteCause::Hedge => "hedge",
        }
    }
}

/// The measurements of a finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// How the request ended.
    pub end: RequestEnd,
    /// The time from the arrival of the head to the first relayed token; `None` if no token was
    /// relayed.
    pub first_token: Option<Millis>,
    /// The mean time per output token after the first; `None` for fewer than two tokens.
    pub token_gap: Option<Millis>,
    /// The time from the arrival of the head to the end of the request.
    pub whole: Millis,
    /// Tokens relayed to the caller.
    pub tokens: u64,
}

impl Default for RequestRecord {
    fn default() -> RequestRecord {
        RequestRecord {
            end: RequestEnd::Completed,
            first_token: None,
            token_gap: None,
            whole: Millis::ZERO,
            tokens: 0,
        }
    }
}

/// How a finished request counts for the service level of its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answered completely and within every target.
    Attained,
    /// Late, cut off, lost, or refused for lack of capacity.
    Missed,
    /// Not counted, because the caller caused the outcome.
    Excluded,
}
