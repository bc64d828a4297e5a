//! Answers to what never becomes a request.

use crocushold_base::Millis;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::CONNECTION;
use http_types::headers::RETRY_AFTER;

/// The answer to a connection whose next request can't be taken; the connection is closed after it.
pub(crate) fn refusal(status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.insert_header(CONNECTION, "close");
    response.set_body(format!("{}\n", status.canonical_reason()));
    response
}

/// The answer to a connection above the listener's limit.
pub(crate) fn overload(retry_after: Millis) -> Response {
    let mut response = refusal(StatusCode::ServiceUnavailable);
    response.insert_header(RETRY_AFTER, retry_after.as_secs_ceil().to_string());
    response
}
