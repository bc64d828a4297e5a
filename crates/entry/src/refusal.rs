//! Final answers to requests that are not served.

use crocushold_admission as admission;
use crocushold_base::Millis;
use crocushold_config as config;
use crocushold_metrics::RefusalReason;
use crocushold_routing as routing;
use crocushold_routing::Ran;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

/// Why a request is not served. The name is part of the interface towards callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The key is missing or belongs to no client account.
    Unauthorized,
    /// The account may not use the class, the model or the path.
    Forbidden,
    /// No service offers the model or the path.
    NotFound,
    /// The body is malformed or lacks a field.
    BadRequest,
    /// The body is larger than the bound.
    BodyTooLarge,
    /// The account exceeds its rate of requests or tokens.
    RateLimited,
    /// The account has as many requests in progress as it may.
    ConcurrencyLimited,
    /// The queue of the class is full.
    QueueFull,
    /// The request would miss its target if it waited.
    Overloaded,
    /// The request waited until its target was lost.
    Expired,
    /// No backend server of the service can take the request.
    NoServer,
    /// The backend server failed before it answered.
    ServerFailed,
    /// The idempotency key is in use by another request, or its fate is unknown.
    KeyConflict,
    /// The owner of the idempotency key can't be asked.
    KeyUnavailable,
    /// The instance has no configuration, or is about to stop.
    NotServing,
}

/// The value of the header `x-request-ran`: whether a request that failed did run.
fn ran_name(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Unknown => "unknown",
    }
}

impl Reason {
    /// The value of the header `x-refusal-reason`.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Unauthorized => "unauthorized",
            Reason::Forbidden => "forbidden",
            Reason::NotFound => "not_found",
            Reason::BadRequest => "bad_request",
            Reason::BodyTooLarge => "body_too_large",
            Reason::RateLimited => "rate_limited",
            Reason::ConcurrencyLimited => "concurrency_limited",
            Reason::QueueFull => "queue_full",
            Reason::Overloaded => "overloaded",
            Reason::Expired => "expired",
            Reason::NoServer => "no_server",
            Reason::ServerFailed => "server_failed",
            Reason::KeyConflict => "key_conflict",
            Reason::KeyUnavailable => "key_unavailable",
            Reason::NotServing => "not_serving",
        }
    }

    /// The reason as the metrics count it.
    pub(crate) fn metric(self) -> RefusalReason {
        match self {
            Reason::Unauthorized
            | Reason::Forbidden
            | Reason::NotFound
            | Reason::BadRequest
            | Reason::BodyTooLarge => RefusalReason::Invalid,
            Reason::RateLimited | Reason::ConcurrencyLimited => RefusalReason::AccountLimit,
            Reason::QueueFull => RefusalReason::QueueFull,
            Reason::Overloaded => RefusalReason::Overload,
            Reason::Expired => RefusalReason::Deadline,
            Reason::NoServer | Reason::ServerFailed => RefusalReason::NoServer,
            Reason::KeyConflict | Reason::KeyUnavailable => RefusalReason::Duplicate,
            Reason::NotServing => RefusalReason::Draining,
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Reason::Unauthorized => StatusCode::Unauthorized,
            Reason::Forbidden => StatusCode::Forbidden,
            Reason::NotFound => StatusCode::NotFound,
            Reason::BadRequest => StatusCode::BadRequest,
            Reason::BodyTooLarge => StatusCode::PayloadTooLarge,
            Reason::RateLimited | Reason::ConcurrencyLimited => StatusCode::TooManyRequests,
            Reason::ServerFailed => StatusCode::BadGateway,
            Reason::KeyConflict => StatusCode::Conflict,
            Reason::QueueFull
            | Reason::Overloaded
            | Reason::Expired
            | Reason::NoServer
            | Reason::KeyUnavailable
            | Reason::NotServing => StatusCode::ServiceUnavailable,
        }
    }
}

/// The final answer to a request that is not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// When a repeat makes sense; `None` when it never does.
    pub retry_after: Option<Millis>,
    /// A sentence for a person.
    pub message: String,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'static str,
    ran: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request of which no byte left for a backend server.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal {
            reason,
            ran: Ran::No,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Adds when the caller may come back.
    #[must_use]
    pub fn retry_after(mut self, span: Millis) -> Refusal {
        self.retry_after = Some(span);
        self
    }

    /// The refusal of a request that the configuration doesn't allow.
    pub(crate) fn from_config(refusal: config::Refusal) -> Refusal {
        let reason = match refusal {
            config::Refusal::UnknownKey => Reason::Unauthorized,
            config::Refusal::UnknownModel | config::Refusal::UnknownPath => Reason::NotFound,
            config::Refusal::ForbiddenCall | config::Refusal::RaisedClass => Reason::Forbidden,
            config::Refusal::UnknownClass => Reason::BadRequest,
        };
        Refusal::not_run(reason, refusal.to_string())
    }

    /// The refusal of a request that was not admitted, or waited in vain.
    pub(crate) fn from_admission(refusal: &admission::Refusal) -> Refusal {
        let (reason, message) = match refusal.reason {
            admission::Reason::UnknownClass | admission::Reason::UnknownAccount => {
                let text = "the class or account was removed from the configuration";
                return Refusal::not_run(Reason::Forbidden, text);
            }
            admission::Reason::RequestRate => (Reason::RateLimited, "too many requests"),
            admission::Reason::TokenRate => (Reason::RateLimited, "too many tokens"),
            admission::Reason::AccountQueue => {
                (Reason::ConcurrencyLimited, "too many requests are waiting")
            }
            admission::Reason::QueueFull => (Reason::QueueFull, "the queue is full"),
            admission::Reason::TooLate => {
                (Reason::Overloaded, "the latency target can't be met now")
            }
            admission::Reason::Expired => (Reason::Expired, "the latency target was missed"),
            admission::Reason::Displaced => {
                (Reason::QueueFull, "the request gave way to a higher tier")
            }
        };
        Refusal::not_run(reason, message).retry_after(refusal.retry_after)
    }

    /// The refusal of a request for which there is no server.
    pub(crate) fn from_routing(none: &routing::NoServer) -> Refusal {
        let refusal = Refusal::not_run(Reason::NoServer, none.reason.to_string());
        refusal.retry_after(none.retry_after)
    }

    /// Makes the HTTP response.
    pub fn into_response(self) -> Response {
        let mut response = Response::new(self.reason.status());
        response.insert_header("x-refusal-reason", self.reason.as_str());
        response.insert_header("x-request-ran", ran_name(self.ran));
        if let Some(span) = self.retry_after {
            response.insert_header("retry-after", span.as_secs_ceil().max(1).to_string());
        }
        let body = ErrorBody {
            error: ErrorFields {
                message: &self.message,
                kind: "crocushold_refusal",
                code: self.reason.as_str(),
                ran: ran_name(self.ran),
                retry_after_ms: self.retry_after.map(|span| span.0),
            },
        };
        let text = serde_json::to_string(&body).expect("strings and numbers always serialise");
        response.set_body(text);
        response.insert_header("content-type", "application/json");
        response
    }
}
