//! Answers to what never becomes a request.

use crocushold_base::Millis;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::CONNECTION;
use http_types::headers::RETRY_AFTER;

use super::limits::ListenerLimits;
use super::limits::ServerLimits;

/// A refusal in plain text, for those who make none of their own.
pub(crate) fn plain(status: StatusCode, retry_after: Option<Millis>) -> Response {
    let mut response = Response::new(status);
    response.set_body(format!("{}\n", status.canonical_reason()));
    if let Some(span) = retry_after {
        response.insert_header(RETRY_AFTER, span.as_secs_ceil().to_string());
    }
    response
}

/// The answer to a connection whose next request can't be taken; the connection is closed after it.
pub(crate) fn refusal(limits: &ServerLimits, status: StatusCode) -> Response {
    closing((limits.refuse)(status, None))
}

/// The answer to a connection above the listener's limit.
pub(crate) fn overload(limits: &ListenerLimits) -> Response {
    let status = StatusCode::ServiceUnavailable;
    closing((limits.server.refuse)(status, Some(limits.retry_after)))
}

fn closing(mut response: Response) -> Response {
    response.insert_header(CONNECTION, "close");
    response
}
