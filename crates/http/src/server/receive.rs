//! Reading the next request of a connection.

use std::sync::Arc;

use async_std::future::timeout;
use futures::future::Abortable;
use futures::future::Aborted;
use futures::future::Either;
use futures::future::select;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::headers::CONTENT_TYPE;
use http_types::headers::EXPECT;
use http_types::headers::HOST;

use super::body::Inbound;
use super::limits::MAX_HEAD_BYTES;
use super::limits::ServerLimits;
use super::long_head::remove_long_lines;
use super::long_head::restore_lines;
use super::stop::StopSignal;
use super::waits::Seat;
use super::waits::WaitKind;
use crate::connection::Connection;
use crate::connection::HeadError;
use crate::connection::LINE_END;
use crate::connection::MessageStream;
use crate::connection::has_header;
use crate::framing::AmbiguousFraming;
use crate::framing::Framing;
use crate::framing::framing;
use crate::headers::keep_content_type;
use crate::request_target::RequestTarget;
use crate::request_target::check_host;

/// Memory of a head while it is read, relative to its longest length: the buffer and its copy while it grows.
const HEAD_BUFFER_FACTOR: usize = 2;

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
    let mut length = match read_head(connection, seat, limits).await {
        Ok(length) => length,
        Err(next) => return next,
    };
    let line = match connection.with_head(length, |head| request_line(head)) {
        Ok(line) => line,
        Err(status) => return Next::Refused(status),
    };
    length = hide_target(connection, length, &line);
    let mut removed = Vec::new();
    if length > MAX_HEAD_BYTES {
        match connection.with_head(length, |head| remove_long_lines(head, MAX_HEAD_BYTES)) {
            Some((head, lines)) => {
                connection.replace_head(0..length, &head);
                length = head.len();
                removed = lines;
            }
            None => return Next::Refused(StatusCode::RequestHeaderFieldsTooLarge),
        }
    }
    match parse(connection, length, line).await {
        Ok(mut incoming) => {
            restore_lines(&mut incoming.request, removed);
            apply_limits(connection, seat, limits, incoming)
        }
        Err(status) => Next::Refused(status),
    }
}

/// Reads a head and returns its length.
async fn read_head(
    connection: &Connection,
    seat: &Seat,
    limits: &ServerLimits,
) -> Result<usize, Next> {
    let (wait, registration) = seat.begin(WaitKind::Head, &limits.wait);
    let bytes = (HEAD_BUFFER_FACTOR * limits.head_bytes) as u64;
    let _reserved = match &limits.head_memory {
        Some(budget) => {
            let reserved = seat.reserve(budget, bytes).await;
            wait.set_reserved(bytes);
            Some(reserved.ok_or(Next::Refused(StatusCode::ServiceUnavailable))?)
        }
        None => None,
    };
    let head = timeout(
        limits.head_timeout.into(),
        connection.read_head(limits.head_bytes),
    );
    match Abortable::new(head, registration).await {
        Ok(Ok(Ok(length))) => Ok(length),
        Ok(Ok(Err(HeadError::TooLarge))) => {
            Err(Next::Refused(StatusCode::RequestHeaderFieldsTooLarge))
        }
        Ok(Ok(Err(HeadError::Malformed))) => Err(Next::Refused(StatusCode::BadRequest)),
        Ok(Ok(Err(HeadError::Closed | HeadError::Io(_)))) | Err(Aborted) => Err(Next::End),
        Ok(Err(_)) => Err(Next::Refused(StatusCode::RequestTimeout)),
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

/// The parts of a request line that async-h1 changes.
struct RequestLine {
    method: String,
    target: RequestTarget,
}

/// Takes the request line of a head. Refuses heads on which async-h1 would panic or close the connection without an
/// answer.
fn request_line(head: &[u8]) -> Result<RequestLine, StatusCode> {
    // http-types panics on a header value that isn't ASCII, and the connection would be closed
    // without an answer.
    let head = std::str::from_utf8(head).ok();
    let head = head.filter(|head| head.is_ascii());
    let head = head.ok_or(StatusCode::BadRequest)?;
    let (line, _) = head.split_once(LINE_END).unwrap_or_default();
    let mut words = line.split(' ');
    let (method, target, version) = (words.next(), words.next(), words.next_back());
    if version != Some("HTTP/1.1") {
        return Err(match version {
            Some(other) if other.starts_with("HTTP/") => StatusCode::HttpVersionNotSupported,
            _ => StatusCode::BadRequest,
        });
    }
    let (Some(method), Some(target), None) = (method, target, words.next()) else {
        return Err(StatusCode::BadRequest);
    };
    let target = RequestTarget::parse(target).map_err(|_| StatusCode::BadRequest)?;
    if target.as_str() == "*" && method != Method::Options.as_ref() {
        return Err(StatusCode::BadRequest);
    }
    Ok(RequestLine {
        method: method.to_owned(),
        target,
    })
}

/// Puts a slash in the place of the target, so that async-h1 parses no URL that a caller has chosen. Returns the length
/// of the changed head.
fn hide_target(connection: &Connection, length: usize, line: &RequestLine) -> usize {
    let start = line.method.len() + 1;
    let target_length = line.target.as_str().len();
    connection.replace_head(start..start + target_length, b"/");
    length - target_length + 1
}

/// Refuses requests that are passed on in another spelling, or in which servers may find another host.
fn check_request(request: &Request, line: &RequestLine) -> Result<(), StatusCode> {
    // The tunnel that `CONNECT` asks for has no path, and thus no route.
    let is_known = request.method().as_ref() == line.method && request.method() != Method::Connect;
    let hosts = request.header(HOST);
    let host = hosts.filter(|values| values.iter().count() == 1);
    let host = host.map_or("", |values| values.as_str());
    let authority = line.target.authority().unwrap_or(host);
    let is_one = check_host(host).is_ok() && authority.eq_ignore_ascii_case(host);
    if is_known && is_one {
        Ok(())
    } else {
        Err(StatusCode::BadRequest)
    }
}

async fn parse(
    connection: &Arc<Connection>,
    length: usize,
    line: RequestLine,
) -> Result<Incoming, StatusCode> {
    let has_type = connection.with_head(length, |head| has_header(head, CONTENT_TYPE.as_str()));
    connection.begin_head(length);
    // The whole head has been read, so decoding doesn't wait. The future is boxed because its state
    // has room for 128 headers, which would otherwise enlarge the state of every connection for its
    // whole lifetime.
    let decoded = Box::pin(async_h1::server::decode(MessageStream(connection.clone()))).await;
    let (mut request, _) = match decoded {
        Ok(Some(decoded)) => decoded,
        Ok(None) | Err(_) => return Err(StatusCode::BadRequest),
    };
    // async-h1 sets one with a body of its own.
    if !has_type {
        request.remove_header(CONTENT_TYPE);
    }
    check_request(&request, &line)?;
    request.ext_mut().insert(line.target);
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
    let bytes = incoming.framing.max_request_bytes(limits.body_bytes);
    let body = connection.begin_body(incoming.framing, bytes);
    keep_content_type(&mut incoming.request, |request| request.set_body(body));
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
    extensions.insert(Inbound(seat.clone()));
    Next::Request(Box::new(incoming))
}
