//! Final answers to requests that are not served.

use crocushold_base::Millis;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

/// Whether a request that failed did run at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of it left for a backend server: repeating it is safe.
    No,
    /// It may have run, in whole or in part.
    Unknown,
}

impl Ran {
    /// The value of the header `x-request-ran`.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        }
    }
}

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
    ran: Ran,
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

    /// Makes the HTTP response.
    pub fn into_response(self) -> Response {
        let mut response = Response::new(self.reason.status());
        response.insert_header("x-refusal-reason", self.reason.as_str());
        response.insert_header("x-request-ran", self.ran.as_str());
        if let Some(span) = self.retry_after {
            response.insert_header("retry-after", span.as_secs_ceil().max(1).to_string());
        }
        let body = ErrorBody {
            error: ErrorFields {
                message: &self.message,
                kind: "crocushold_refusal",
                code: self.reason.as_str(),
                ran: self.ran,
                retry_after_ms: self.retry_after.map(|span| span.0),
            },
        };
        let text = serde_json::to_string(&body).expect("strings and numbers always serialise");
        response.set_body(text);
        response.insert_header("content-type", "application/json");
        response
    }
}
