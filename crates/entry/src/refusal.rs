//! Final responses to requests that are not served.

use crocushold_admission as admission;
use crocushold_base::Millis;
use crocushold_config as config;
use crocushold_metrics::RefusalReason;
use crocushold_ownership as ownership;
use crocushold_routing as routing;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

use crate::coordination::LimitExceeded;
use crate::coordination::LimitKind;

/// Why a request is not served. The names are part of the API for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The API key is missing or belongs to no client account.
    Unauthorized,
    /// The account may not use the class, the model or the path.
    Forbidden,
    /// No service offers the model or the path.
    NotFound,
    /// The body is malformed or lacks a field.
    BadRequest,
    /// The body is too large.
    BodyTooLarge,
    /// The account exceeds its limit of requests or tokens per second.
    RateLimited,
    /// The account is at its limit of requests in progress.
    ConcurrencyLimited,
    /// The account is at its limit of connections; this one is closed.
    ConnectionsLimited,
    /// The queue of the class is full.
    QueueFull,
    /// The request would miss its latency target if it were queued.
    Overloaded,
    /// The request was queued until it missed its latency target.
    Expired,
    /// No backend server of the service can take the request.
    NoServer,
    /// The backend server failed before it responded.
    ServerFailed,
    /// Servers ended while they ran requests with this content.
    Quarantined,
    /// The idempotency key is in use by another request, or the outcome of its request is unknown.
    KeyConflict,
    /// The owners of the idempotency key can't be reached, or have no room for it.
    KeyUnavailable,
    /// The instance has no configuration yet, or is shutting down.
    NotServing,
}

/// Whether a refused request ran at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// No byte of it was sent to a backend server: repeating it is safe.
    No,
    /// An earlier request with the same idempotency key ran.
    Yes,
    /// It may have run, completely or in part.
    Unknown,
}

impl Ran {
    /// The value of the header `x-request-ran`.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

impl From<routing::Ran> for Ran {
    fn from(ran: routing::Ran) -> Ran {
        match ran {
            routing::Ran::No => Ran::No,
            routing::Ran::Unknown => Ran::Unknown,
        }
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
            Reason::ConnectionsLimited => "connections_limited",
            Reason::QueueFull => "queue_full",
            Reason::Overloaded => "overloaded",
            Reason::Expired => "expired",
            Reason::NoServer => "no_server",
            Reason::ServerFailed => "server_failed",
            Reason::Quarantined => "quarantined",
            Reason::KeyConflict => "key_conflict",
            Reason::KeyUnavailable => "key_unavailable",
            Reason::NotServing => "not_serving",
        }
    }

    /// The reason as counted in the metrics.
    pub(crate) fn metric(self) -> RefusalReason {
        match self {
            Reason::Unauthorized
            | Reason::Forbidden
            | Reason::NotFound
            | Reason::BadRequest
            | Reason::BodyTooLarge => RefusalReason::Invalid,
            Reason::RateLimited | Reason::ConcurrencyLimited | Reason::ConnectionsLimited => {
                RefusalReason::AccountLimit
            }
            Reason::QueueFull => RefusalReason::QueueFull,
            Reason::Overloaded => RefusalReason::Overload,
            Reason::Expired => RefusalReason::Deadline,
            Reason::NoServer | Reason::ServerFailed => RefusalReason::NoServer,
            Reason::Quarantined => RefusalReason::Quarantined,
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
            Reason::RateLimited | Reason::ConcurrencyLimited | Reason::ConnectionsLimited => {
                StatusCode::TooManyRequests
            }
            Reason::ServerFailed => StatusCode::BadGateway,
            Reason::KeyConflict => StatusCode::Conflict,
            Reason::QueueFull
            | Reason::Overloaded
            | Reason::Expired
            | Reason::NoServer
            | Reason::Quarantined
            | Reason::KeyUnavailable
            | Reason::NotServing => StatusCode::ServiceUnavailable,
        }
    }
}

/// The final response to a request that is not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// Time after which a retry is useful; `None` if it never is.
    pub retry_after: Option<Millis>,
    /// Message for a person.
    pub message: String,
}

/// Returns the response to a request that is refused before it is read: its head is invalid, its
/// declared body is too large, or its connection exceeds the limit of the instance.
pub(crate) fn refuse_unread(status: StatusCode, retry_after: Option<Millis>) -> Response {
    let reason = match status {
        StatusCode::PayloadTooLarge => Reason::BodyTooLarge,
        StatusCode::ServiceUnavailable => Reason::Overloaded,
        _ => Reason::BadRequest,
    };
    let mut refusal = Refusal::not_run(reason, status.canonical_reason().to_lowercase());
    refusal.retry_after = retry_after;
    let mut response = refusal.into_response();
    response.set_status(status);
    response
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
    /// Creates a refusal of a request of which no byte was sent to a backend server.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal {
            reason,
            ran: Ran::No,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Marks the refused request as sent before. The caller isn't asked to retry, which it would
    /// take as a guarantee that nothing ran.
    #[must_use]
    pub(crate) fn may_have_run(mut self) -> Refusal {
        self.ran = Ran::Unknown;
        self.retry_after = None;
        self.message
            .push_str("; a backend server failed before, and the request may have run");
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, span: Millis) -> Refusal {
        self.retry_after = Some(span);
        self
    }

    /// Creates the refusal of a request that the configuration doesn't allow.
    pub(crate) fn from_config(refusal: config::Refusal) -> Refusal {
        let reason = match refusal {
            config::Refusal::UnknownKey => Reason::Unauthorized,
            config::Refusal::UnknownModel | config::Refusal::UnknownPath => Reason::NotFound,
            config::Refusal::ForbiddenCall | config::Refusal::RaisedClass => Reason::Forbidden,
            config::Refusal::UnknownClass => Reason::BadRequest,
        };
        Refusal::not_run(reason, refusal.to_string())
    }

    /// Creates the refusal of a request that exceeds one of its account's limits.
    pub(crate) fn from_limit(exceeded: LimitExceeded) -> Refusal {
        let (reason, message) = match exceeded.kind {
            LimitKind::Requests => (Reason::RateLimited, "too many requests"),
            LimitKind::Tokens => (Reason::RateLimited, "too many tokens"),
            LimitKind::Concurrency => (
                Reason::ConcurrencyLimited,
                "too many requests are in progress",
            ),
        };
        Refusal::not_run(reason, message).retry_after(exceeded.retry_after)
    }

    /// Creates the refusal of a request that was not admitted, or was queued and not dispatched.
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

    /// Creates the refusal of a request whose idempotency key could not be claimed.
    ///
    /// A retry with the same key is always safe, so the caller is told when to retry even if an
    /// earlier attempt may have run.
    pub(crate) fn from_claim(refusal: ownership::Refusal) -> Refusal {
        let (reason, ran, retry_after, message) = match refusal {
            ownership::Refusal::InProgress { retry_after } => (
                Reason::KeyConflict,
                Ran::Unknown,
                Some(retry_after),
                "a request with this idempotency key is running".to_owned(),
            ),
            ownership::Refusal::Done { status } => (
                Reason::KeyConflict,
                Ran::Yes,
                None,
                format!("the request with this idempotency key ran; it was answered {status}"),
            ),
            ownership::Refusal::Unknown => (
                Reason::KeyConflict,
                Ran::Unknown,
                None,
                "a request with this idempotency key may have run".to_owned(),
            ),
            ownership::Refusal::KeyReused => (
                Reason::KeyConflict,
                Ran::No,
                None,
                "the idempotency key belongs to another request".to_owned(),
            ),
            ownership::Refusal::NotRun { retry_after } => (
                Reason::KeyUnavailable,
                Ran::No,
                Some(retry_after),
                "no room to remember the idempotency key".to_owned(),
            ),
            ownership::Refusal::NoQuorum { retry_after } => (
                Reason::KeyUnavailable,
                Ran::Unknown,
                Some(retry_after),
                "this try did not run, but too few instances can tell about earlier ones"
                    .to_owned(),
            ),
        };
        Refusal {
            reason,
            ran,
            retry_after,
            message,
        }
    }

    /// Creates the refusal of a request for which there is no server.
    pub(crate) fn from_routing(none: &routing::NoServer) -> Refusal {
        let refusal = Refusal::not_run(Reason::NoServer, none.reason.to_string());
        refusal.retry_after(none.retry_after)
    }

    /// Converts the refusal to an HTTP response.
    pub fn into_response(self) -> Response {
        let mut response = Response::new(self.reason.status());
        response.insert_header("x-refusal-reason", self.reason.as_str());
        response.insert_header("x-request-ran", self.ran.as_str());
        if let Some(span) = self.retry_after {
            response.insert_header("retry-after", span.as_secs_ceil().max(1).to_string());
        }
        if self.reason == Reason::ConnectionsLimited {
            response.insert_header("connection", "close");
        }
        let body = ErrorBody {
            error: ErrorFields {
                message: &self.message,
                kind: "crocushold_refusal",
                code: self.reason.as_str(),
                ran: self.ran.as_str(),
                retry_after_ms: self.retry_after.map(|span| span.0),
            },
        };
        let text =
            serde_json::to_string(&body).expect("strings and numbers can always be serialized");
        response.set_body(text);
        response.insert_header("content-type", "application/json");
        response
    }
}
