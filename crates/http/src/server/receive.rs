//! Reading the next request of a connection.

use std::sync::Arc;

use async_std::future::timeout;
use futures::future::Either;
use futures::future::select;
use http_types::Request;
use http_types::StatusCode;
use http_types::headers::EXPECT;

use super::body::CallerConnection;
use super::limits::MAX_HEAD_BYTES;
use super::limits::ServerLimits;
use super::long_head::remove_long_lines;
use super::long_head::restore_lines;
use super::stop::StopSignal;
use super::waits::Seat;
use super::waits::WaitKind;
use crate::connection::Connection;
use crate::connection::HeadError;
use crate::connection::MessageStream;
use crate::framing::AmbiguousFraming;
use crate::framing::Framing;
use crate::framing::framing;

/// The outcome of waiting for the next request.
pub(crate) enum Next {
    /// A request whose body hasn't been read yet.
    Request(Box<Incoming>),
    /// No further request: the connection was closed, idle for too long, or the listener is
    /// stopped.
    End,
    /// A request that can't be served, to be answered with this status.
    Refused(StatusCode),
}

/// A request and how its body is framed.
pub(crate) struct Incoming {
    pub(crate) request: Request,
    pub(crate) framing: Framing,
}

/// Waits for the next request.
pub(crate) async fn next_request(
    connection: &Arc<Connection>,
    seat: &Arc<Seat>,
    limits: &ServerLimits,
    stop: &StopSignal,
) -> Next {
    let byte = wait_for_byte(connection, limits, stop);
    let arrived = seat.wait(WaitKind::Idle, &limits.wait, byte).await;
    if arrived != Some(true) {
        return Next::End;
    }
    let limit = limits.head_bytes;
    let head = timeout(limits.head_timeout.into(), connection.read_head(limit));
    let head = seat.wait(WaitKind::Head, &limits.wait, head).await;
    let mut length = match head {
        Some(Ok(Ok(length))) => length,
        Some(Ok(Err(HeadError::TooLarge))) => {
            return Next::Refused(StatusCode::RequestHeaderFieldsTooLarge);
        }
        Some(Ok(Err(HeadError::Malformed))) => return Next::Refused(StatusCode::BadRequest),
        Some(Ok(Err(HeadError::Closed | HeadError::Io(_)))) | None => return Next::End,
        Some(Err(_)) => return Next::Refused(StatusCode::RequestTimeout),
    };
    if let Err(status) = connection.with_head(length, |head| check_head(head)) {
        return Next::Refused(status);
    }
    let mut removed = Vec::new();
    if length > MAX_HEAD_BYTES {
        match connection.with_head(length, |head| remove_long_lines(head, MAX_HEAD_BYTES)) {
            Some((head, lines)) => {
                connection.replace_head(length, &head);
                length = head.len();
                removed = lines;
            }
            None => return Next::Refused(StatusCode::RequestHeaderFieldsTooLarge),
        }
    }
    match parse(connection, length).await {
        Ok(mut incoming) => {
            restore_lines(&mut incoming.request, removed);
            apply_limits(connection, seat, limits, incoming)
        }
        Err(status) => Next::Refused(status),
    }
}

async fn wait_for_byte(connection: &Connection, limits: &ServerLimits, stop: &StopSignal) -> bool {
    let byte = std::pin::pin!(timeout(limits.idle_timeout.into(), connection.first_byte()));
    let stopped = std::pin::pin!(stop.wait());
    match select(byte, stopped).await {
        Either::Left((arrived, _)) => matches!(arrived, Ok(Ok(true))),
        Either::Right((_, byte)) => {
            let arrived = timeout(limits.stop_grace.into(), byte).await;
            matches!(arrived, Ok(Ok(Ok(true))))
        }
    }
}

/// Refuses heads on which async-h1 would panic or close the connection without an answer.
fn check_head(head: &[u8]) -> Result<(), StatusCode> {
    // http-types panics on a header value that isn't ASCII, and the connection would be closed
    // without an answer.
    if !head.is_ascii() {
        return Err(StatusCode::BadRequest);
    }
    let line = head.split(|byte| *byte == b'\r').next().unwrap_or_default();
    if line.ends_with(b" HTTP/1.1") {
        return Ok(());
    }
    let version = line.rsplit(|byte| *byte == b' ').next().unwrap_or_default();
    if version.starts_with(b"HTTP/") {
        return Err(StatusCode::HttpVersionNotSupported);
    }
    Err(StatusCode::BadRequest)
}

async fn parse(connection: &Arc<Connection>, length: usize) -> Result<Incoming, StatusCode> {
    connection.set_remaining(length as u64);
    // The whole head has been read, so decoding doesn't wait. The future is boxed because its state
    // has room for 128 headers, which would otherwise enlarge the state of every connection for its
    // whole lifetime.
    let decoded = Box::pin(async_h1::server::decode(MessageStream(connection.clone()))).await;
    let (request, _) = match decoded {
        Ok(Some(decoded)) => decoded,
        Ok(None) | Err(_) => return Err(StatusCode::BadRequest),
    };
    let framing = match framing(request.as_ref()) {
        Ok(framing) => framing.unwrap_or(Framing::Length(0)),
        Err(AmbiguousFraming) => return Err(StatusCode::BadRequest),
    };
    Ok(Incoming { request, framing })
}

fn apply_limits(
    connection: &Arc<Connection>,
    seat: &Arc<Seat>,
    limits: &ServerLimits,
    mut incoming: Incoming,
) -> Next {
    if let Framing::Length(length) = incoming.framing
        && length > limits.body_bytes
    {
        return Next::Refused(StatusCode::PayloadTooLarge);
    }
    connection.set_remaining(incoming.framing.max_request_bytes(limits.body_bytes));
    if let Some(expected) = incoming.request.header(EXPECT) {
        if !expected.as_str().eq_ignore_ascii_case("100-continue") {
            return Next::Refused(StatusCode::ExpectationFailed);
        }
        connection.expect_continue();
    }
    if let Ok(peer) = connection.stream().peer_addr() {
        incoming.request.set_peer_addr(Some(peer));
    }
    let extensions = incoming.request.ext_mut();
    extensions.insert(CallerConnection {
        connection: connection.clone(),
        seat: seat.clone(),
    });
    Next::Request(Box::new(incoming))
}
