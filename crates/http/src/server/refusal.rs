//! Answers to requests and connections that are refused before they reach a handler.

use crocushold_base::Millis;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::CONNECTION;
use http_types::headers::RETRY_AFTER;

use super::limits::ListenerLimits;
use super::limits::ServerLimits;

/// The default [`RefusalFn`](super::limits::RefusalFn): a refusal in plain text.
pub(crate) fn plain_text(status: StatusCode, retry_after: Option<Millis>) -> Response {
    let mut response = Response::new(status);
    response.set_body(format!("{}\n", status.canonical_reason()));
    if let Some(span) = retry_after {
        response.insert_header(RETRY_AFTER, span.as_secs_ceil().to_string());
    }
    response
}

/// The answer to a request that can't be served; the connection is closed after it.
pub(crate) fn refusal(limits: &ServerLimits, status: StatusCode) -> Response {
    with_close((limits.refuse)(status, None))
}

/// The answer on a connection above the listener's limit.
pub(crate) fn over_limit(limits: &ListenerLimits) -> Response {
    let status = StatusCode::ServiceUnavailable;
    with_close((limits.server.refuse)(status, Some(limits.retry_after)))
}

fn with_close(mut response: Response) -> Response {
    response.insert_header(CONNECTION, "close");
    response
}
