//! Taking the next request off a connection.

use std::sync::Arc;

use async_std::future::timeout;
use futures::future::Either;
use futures::future::select;
use http_types::Request;
use http_types::StatusCode;
use http_types::headers::EXPECT;

use super::limits::MAX_HEAD_BYTES;
use super::limits::ServerLimits;
use super::shorten::restore;
use super::shorten::shorten;
use super::stop::StopSignal;
use crate::framing::Ambiguous;
use crate::framing::Framing;
use crate::framing::framing;
use crate::wire::Gate;
use crate::wire::HeadError;
use crate::wire::Wire;

/// What comes next on a connection.
pub(crate) enum Next {
    /// A request; its body is still to be read.
    Request(Box<Incoming>),
    /// No further request: closed, idle for too long, or stopped.
    End,
    /// Something that can't be taken, to be answered with this status.
    Refused(StatusCode),
}

/// A request and how its body is framed.
pub(crate) struct Incoming {
    pub(crate) request: Request,
    pub(crate) framing: Framing,
}

/// Waits for the next request.
pub(crate) async fn next_request(
    wire: &Arc<Wire>,
    limits: &ServerLimits,
    stop: &StopSignal,
) -> Next {
    if !wait_for_byte(wire, limits, stop).await {
        return Next::End;
    }
    let limit = limits.head_bytes;
    let mut length = match timeout(limits.head_timeout.into(), wire.read_head(limit)).await {
        Ok(Ok(length)) => length,
        Ok(Err(HeadError::TooLarge)) => {
            return Next::Refused(StatusCode::RequestHeaderFieldsTooLarge);
        }
        Ok(Err(HeadError::Malformed)) => return Next::Refused(StatusCode::BadRequest),
        Ok(Err(HeadError::Closed | HeadError::Io(_))) => return Next::End,
        Err(_) => return Next::Refused(StatusCode::RequestTimeout),
    };
    if let Err(status) = wire.with_head(length, |head| check_head(head)) {
        return Next::Refused(status);
    }
    let mut taken = Vec::new();
    if length > MAX_HEAD_BYTES {
        match wire.with_head(length, |head| shorten(head, MAX_HEAD_BYTES)) {
            Some((head, lines)) => {
                wire.replace_head(length, &head);
                length = head.len();
                taken = lines;
            }
            None => return Next::Refused(StatusCode::RequestHeaderFieldsTooLarge),
        }
    }
    match parse(wire, length).await {
        Ok(mut incoming) => {
            restore(&mut incoming.request, taken);
            bound(wire, limits, incoming)
        }
        Err(status) => Next::Refused(status),
    }
}

async fn wait_for_byte(wire: &Wire, limits: &ServerLimits, stop: &StopSignal) -> bool {
    let byte = std::pin::pin!(timeout(limits.idle_timeout.into(), wire.first_byte()));
    let stopped = std::pin::pin!(stop.wait());
    match select(byte, stopped).await {
        Either::Left((arrived, _)) => matches!(arrived, Ok(Ok(true))),
        Either::Right((_, byte)) => {
            let last = timeout(limits.stop_grace.into(), byte).await;
            matches!(last, Ok(Ok(Ok(true))))
        }
    }
}

/// Refuses heads that async-h1 would panic on or leave unanswered.
fn check_head(head: &[u8]) -> Result<(), StatusCode> {
    // http-types panics on a value that isn't ASCII, and the caller would see a bare close.
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

async fn parse(wire: &Arc<Wire>, length: usize) -> Result<Incoming, StatusCode> {
    wire.allow(length as u64);
    // The whole head is at hand, so this doesn't wait. It is boxed because its state holds room for
    // 128 headers, which every connection would hold as well, for as long as it lives.
    let decoded = Box::pin(async_h1::server::decode(Gate(wire.clone()))).await;
    let (request, _) = match decoded {
        Ok(Some(decoded)) => decoded,
        Ok(None) | Err(_) => return Err(StatusCode::BadRequest),
    };
    let framing = match framing(request.as_ref()) {
        Ok(framing) => framing.unwrap_or(Framing::Length(0)),
        Err(Ambiguous) => return Err(StatusCode::BadRequest),
    };
    Ok(Incoming { request, framing })
}

fn bound(wire: &Arc<Wire>, limits: &ServerLimits, mut incoming: Incoming) -> Next {
    if let Framing::Length(length) = incoming.framing
        && length > limits.body_bytes
    {
        return Next::Refused(StatusCode::PayloadTooLarge);
    }
    wire.allow(incoming.framing.allowance());
    if let Some(expected) = incoming.request.header(EXPECT) {
        if !expected.as_str().eq_ignore_ascii_case("100-continue") {
            return Next::Refused(StatusCode::ExpectationFailed);
        }
        wire.expect_continue();
    }
    if let Ok(peer) = wire.stream().peer_addr() {
        incoming.request.set_peer_addr(Some(peer));
    }
    Next::Request(Box::new(incoming))
}
