//! Reading a request's body with limits on its size and duration.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use async_std::future::timeout;
use async_std::io::Read;
use async_std::task;
use futures::future::poll_fn;
use http_types::Request;
use http_types::StatusCode;
use quick_error::quick_error;

use super::limits::ServerLimits;
use crate::connection::Connection;
use crate::turn::Turn;

/// Bytes read at a time.
const READ_BYTES: usize = 8 * 1024;

/// The connection on which a request arrived, set as an extension of the request.
#[derive(Clone)]
pub(crate) struct CallerConnection(pub(crate) Arc<Connection>);

quick_error! {
    /// Why a request's body couldn't be read.
    #[derive(Debug)]
    pub enum BodyError {
        /// It is longer than the limit.
        TooLarge {
            display("the body is longer than the limit")
        }
        /// It didn't arrive within the timeout.
        Timeout {
            display("the body didn't arrive in time")
        }
        /// The connection was closed before the announced length.
        Short {
            display("the body ended before its announced length")
        }
        /// The socket failed, or the chunked encoding is malformed.
        Io(cause: io::Error) {
            display("the body couldn't be read: {cause}")
            source(cause)
            from()
        }
    }
}

impl BodyError {
    /// The status to answer with.
    pub fn status(&self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PayloadTooLarge,
            BodyError::Timeout => StatusCode::RequestTimeout,
            BodyError::Short | BodyError::Io(_) => StatusCode::BadRequest,
        }
    }
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Fails when the body is longer than `limits` allow, doesn't arrive in time, is truncated or is
/// malformed. Answer with [`BodyError::status`]; the connection is closed after that answer.
pub async fn read_body(request: &mut Request, limits: &ServerLimits) -> Result<Vec<u8>, BodyError> {
    let body = read_bounded(request, limits.body_bytes);
    match timeout(limits.body_timeout.into(), body).await {
        Ok(result) => result,
        Err(_) => Err(BodyError::Timeout),
    }
}

async fn read_bounded(request: &mut Request, limit: u64) -> Result<Vec<u8>, BodyError> {
    let announced = request.len();
    if announced.is_some_and(|length| length as u64 > limit) {
        return Err(BodyError::TooLarge);
    }
    let connection = request.ext().get::<CallerConnection>().cloned();
    // Memory is allocated for the bytes received, not for the announced length. Otherwise callers
    // that announce long bodies and send nothing could exhaust the memory.
    let mut body = Vec::new();
    let mut chunk = [0; READ_BYTES];
    let mut turn = Turn::default();
    loop {
        // The timeout and other tasks get their turn beside a caller that sends without a pause.
        if turn.is_over() {
            task::yield_now().await;
            turn.begin();
        }
        let count = poll_fn(|cx| poll_piece(request, connection.as_ref(), cx, &mut chunk)).await?;
        if count == 0 {
            break;
        }
        if (body.len() + count) as u64 > limit {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&chunk[..count]);
        turn.record(count);
    }
    // async-h1 treats a connection that is closed early as the end of the body.
    if announced.is_some_and(|length| length != body.len()) {
        return Err(BodyError::Short);
    }
    Ok(body)
}

/// Polls async-h1's body.
///
/// Its chunk decoder returns `Pending` without registering a waker when the last line of a body arrives in two
/// reads. If the socket itself wasn't pending, the decoder is polled again.
fn poll_piece(
    request: &mut Request,
    connection: Option<&CallerConnection>,
    cx: &mut Context<'_>,
    buf: &mut [u8],
) -> Poll<io::Result<usize>> {
    loop {
        if let Some(CallerConnection(connection)) = connection {
            connection.clear_read_pending();
        }
        let poll = Pin::new(&mut *request).poll_read(cx, buf);
        let waits = connection.is_none_or(|CallerConnection(inner)| inner.is_read_pending());
        if poll.is_ready() || waits {
            return poll;
        }
    }
}
