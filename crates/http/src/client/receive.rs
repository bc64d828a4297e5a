//! Reading the head of an answer.

use async_std::future::timeout;
use async_std::task;
use crocushold_base::Millis;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::CONTENT_TYPE;

use super::error::SendError;
use super::error::SendErrorKind;
use super::error::Stage;
use super::exchange::Exchange;
use super::limits::SendLimits;
use crate::connection::HeadError;
use crate::connection::MessageStream;
use crate::connection::has_header;
use crate::framing::AmbiguousFraming;
use crate::framing::Framing;
use crate::framing::framing;
use crate::turn::Turn;

/// The longest head that async-h1 parses, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;

/// The most bytes of interim answers. A server may send one for each second of a long request; without a limit
/// one that sends nothing else would be read for as long as it sends.
const MAX_INTERIM_BYTES: usize = 64 * 1024;

/// How long to wait for an answer after a write failed.
const EARLY_ANSWER_TIMEOUT: Millis = Millis::from_secs(1);

/// The head of a final answer.
pub(super) struct AnswerHead {
    pub(super) response: Response,
    /// Whether the server answered before the request was written completely. Nothing more is written
    /// then.
    pub(super) early: bool,
}

/// Reads an answer that the server sent before it had received the whole request.
///
/// A server that refuses a request because of its head answers and closes the connection while the
/// body is still being written. The write then fails, but the answer has arrived, and it is more
/// specific than the write error.
pub(super) async fn early_answer(
    exchange: &Exchange,
    limits: &SendLimits,
    error: SendError,
) -> Result<AnswerHead, SendError> {
    let closed = matches!(error.kind, SendErrorKind::Write(_));
    if !closed || error.stage != Stage::Written {
        return Err(error);
    }
    let time_limit = limits.head_timeout.min(EARLY_ANSWER_TIMEOUT);
    let Ok(response) = read_answer(exchange, time_limit).await else {
        return Err(error);
    };
    Ok(AnswerHead {
        response,
        early: true,
    })
}

/// Reads the head of the answer.
pub(super) async fn read_answer(
    exchange: &Exchange,
    time_limit: Millis,
) -> Result<Response, SendError> {
    match timeout(time_limit.into(), final_head(exchange)).await {
        Ok(result) => result,
        Err(_) => Err(exchange.error(exchange.head_stage(), SendErrorKind::HeadTimeout)),
    }
}

/// Reads heads until one is final; interim answers (1xx) are discarded.
pub(super) async fn final_head(exchange: &Exchange) -> Result<Response, SendError> {
    let connection = &exchange.connection;
    let mut interim_bytes = 0;
    let mut turn = Turn::default();
    loop {
        let length = connection
            .read_head(MAX_HEAD_BYTES)
            .await
            .map_err(|error| head_error(exchange, error))?;
        let has_type = connection.with_head(length, |head| {
            replace_non_ascii(head);
            has_header(head, CONTENT_TYPE.as_str())
        });
        connection.begin_head(length);
        // The whole head has been read, so decoding doesn't wait. The future is boxed because its
        // state has room for 128 headers, which would otherwise enlarge every enclosing future for
        // its whole lifetime.
        let decoded = Box::pin(async_h1::client::decode(MessageStream(connection.clone()))).await;
        let mut response = decoded.map_err(|error| {
            let kind = SendErrorKind::HeadMalformed(error.to_string());
            exchange.error(Stage::Answered, kind)
        })?;
        if response.status() == StatusCode::SwitchingProtocols {
            let kind = SendErrorKind::HeadMalformed("unrequested protocol switch".to_owned());
            return Err(exchange.error(Stage::Answered, kind));
        }
        // async-h1 sets one with the body.
        if !has_type {
            response.remove_header(CONTENT_TYPE);
        }
        if !response.status().is_informational() {
            return Ok(response);
        }
        interim_bytes += length;
        if interim_bytes > MAX_INTERIM_BYTES {
            return Err(exchange.error(Stage::Answered, SendErrorKind::HeadTooLarge));
        }
        // A server that sends them fast would otherwise keep the thread until the limit.
        turn.record(length);
        if turn.is_over() {
            task::yield_now().await;
            turn.begin();
        }
    }
}

fn head_error(exchange: &Exchange, error: HeadError) -> SendError {
    match error {
        HeadError::Closed => exchange.error(exchange.head_stage(), SendErrorKind::Closed),
        HeadError::Io(cause) => exchange.error(exchange.head_stage(), SendErrorKind::Read(cause)),
        HeadError::TooLarge => exchange.error(Stage::Answered, SendErrorKind::HeadTooLarge),
        HeadError::Malformed => {
            let kind = SendErrorKind::HeadMalformed("a line isn't a header".to_owned());
            exchange.error(Stage::Answered, kind)
        }
    }
}

/// Replaces non-ASCII bytes by question marks, because http-types panics on them in header values.
/// The request did run, so delivering its answer matters more than the exact value of such a
/// header.
fn replace_non_ascii(head: &mut [u8]) {
    for byte in head.iter_mut().filter(|byte| !byte.is_ascii()) {
        *byte = b'?';
    }
}

/// Whether an answer names a body that its status doesn't allow. Its server may send that body all the same, in front of
/// the next answer.
pub(super) fn names_forbidden_body(response: &Response) -> bool {
    let named = framing(response.as_ref());
    match response.status() {
        StatusCode::NoContent => !matches!(named, Ok(None | Some(Framing::Length(0)))),
        // It gives the length of the answer that wasn't modified.
        StatusCode::NotModified => !matches!(named, Ok(None | Some(Framing::Length(_)))),
        _ => false,
    }
}

/// Determines how the end of the answer's body is found.
pub(super) fn answer_framing(
    response: &Response,
    method: Method,
    close_delimited: bool,
) -> Result<Framing, SendErrorKind> {
    let empty = matches!(
        response.status(),
        StatusCode::NoContent | StatusCode::NotModified
    );
    if empty || method == Method::Head {
        return Ok(Framing::Length(0));
    }
    // Without framing headers the body ends with the connection, which a crash of the server also
    // closes.
    match framing(response.as_ref()) {
        Ok(Some(framing)) => Ok(framing),
        Ok(None) if close_delimited => Ok(Framing::Close),
        Ok(None) | Err(AmbiguousFraming) => Err(SendErrorKind::Unframed),
    }
}
