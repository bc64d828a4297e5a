//! Answers of the gateway's own.

use crocushold_base::Millis;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

/// Why a request got no answer of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No configuration is in force yet.
    NoConfiguration,
    /// The instance is about to stop.
    Stopping,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// The request can't be read.
    BadRequest,
    /// The body is too long.
    BodyTooLarge,
    /// The body didn't come in time.
    BodyTimeout,
    /// No server takes work.
    NoServer,
    /// Every server is at its limit.
    Busy,
    /// The servers that are free are cold, and take few requests.
    Cold,
    /// No server takes work in a region in which the request may run.
    Region,
    /// Requests fill the memory of the instance.
    Memory,
    /// The wait at every server is too long for the answer to be of use.
    Late,
    /// Every server that may be tried said that it didn't run the request.
    Rejected,
    /// Servers ended under requests that ask the same.
    Quarantined,
    /// Too many repeats of late.
    BudgetSpent,
    /// The time ran out before the request was sent.
    Overdue,
    /// The time ran out while a server had the request.
    Timeout,
    /// The connection to the server failed.
    ServerFailed,
    /// The server's answer can't be passed on.
    BadAnswer,
}

impl Reason {
    /// A label for logs, metrics and the answer's body.
    pub fn label(self) -> &'static str {
        match self {
            Reason::NoConfiguration => "no-configuration",
            Reason::Stopping => "stopping",
            Reason::NoRoute => "no-route",
            Reason::BadKey => "bad-key",
            Reason::BadRequest => "bad-request",
            Reason::BodyTooLarge => "body-too-large",
            Reason::BodyTimeout => "body-timeout",
            Reason::NoServer => "no-server",
            Reason::Busy => "busy",
            Reason::Cold => "cold",
            Reason::Region => "region",
            Reason::Memory => "memory",
            Reason::Late => "late",
            Reason::Rejected => "rejected",
            Reason::Quarantined => "quarantined",
            Reason::BudgetSpent => "retry-budget-spent",
            Reason::Overdue => "overdue",
            Reason::Timeout => "timeout",
            Reason::ServerFailed => "server-failed",
            Reason::BadAnswer => "bad-answer",
        }
    }

    /// The status of the answer.
    ///
    /// 503 says that the request didn't run and never will. Where that isn't sure it is 502 or 504:
    /// a caller that repeats a booking on the strength of a 503 would have it twice.
    fn status(self) -> StatusCode {
        match self {
            Reason::NoRoute => StatusCode::NotFound,
            Reason::BadKey => StatusCode::Unauthorized,
            Reason::BadRequest => StatusCode::BadRequest,
            Reason::BodyTooLarge => StatusCode::PayloadTooLarge,
            Reason::BodyTimeout => StatusCode::RequestTimeout,
            Reason::NoConfiguration
            | Reason::Stopping
            | Reason::NoServer
            | Reason::Busy
            | Reason::Cold
            | Reason::Region
            | Reason::Memory
            | Reason::Late
            | Reason::Rejected
            | Reason::Quarantined
            | Reason::BudgetSpent
            | Reason::Overdue => StatusCode::ServiceUnavailable,
            Reason::Timeout => StatusCode::GatewayTimeout,
            Reason::ServerFailed | Reason::BadAnswer => StatusCode::BadGateway,
        }
    }
}

/// A final answer of the gateway's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back, where the request didn't run.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal that names no time to come back.
    pub fn new(reason: Reason) -> Refusal {
        Refusal {
            reason,
            retry_after: None,
        }
    }

    /// A refusal of what didn't run, with when to come back.
    pub fn later(reason: Reason, retry_after: Millis) -> Refusal {
        Refusal {
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// The status of the answer.
    pub fn status(&self) -> StatusCode {
        self.reason.status()
    }

    /// The answer.
    pub fn response(&self) -> Response {
        let mut response = Response::new(self.status());
        let body = Body {
            error: self.reason.label(),
        };
        let text = serde_json::to_string(&body).expect("a string always serialises");
        response.set_body(text);
        response.insert_header("content-type", "application/json");
        if let Some(span) = self.retry_after {
            response.insert_header("retry-after", format!("{:.3}", span.as_secs_f64()));
        }
        response
    }
}

#[derive(Serialize)]
struct Body {
    error: &'static str,
}
