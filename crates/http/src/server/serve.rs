//! Serving the requests of one connection.

use std::future::Future;
use std::io;
use std::sync::Arc;

use async_h1::server::Encoder;
use async_std::future::timeout;
use async_std::net::Shutdown;
use async_std::net::TcpStream;
use async_std::task;
use crocushold_base::Millis;
use futures::future::Abortable;
use futures::future::Aborted;
use futures::future::Either;
use futures::future::select;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::headers::CONNECTION;
use quick_error::quick_error;

use super::body_length::enforce_body_length;
use super::hangup::Hangup;
use super::limits::AnswerMemory;
use super::limits::AnswerTimeout;
use super::limits::ServerLimits;
use super::receive::Next;
use super::receive::next_request;
use super::refusal::refusal;
use super::stop::StopSignal;
use super::waits::Seat;
use super::waits::WaitKind;
use super::waits::Waits;
use crate::framing::Framing;
use crate::headers::has_connection_option;
use crate::headers::sanitize_headers;

use crate::connection::Connection;
use crate::overdue::Overdue;
use crate::poll_on_wake::PollOnWake;
use crate::transmit::Transmit;
use crate::transmit::TransmitError;

/// How long the reading side of a connection stays open after its last answer, for the caller to
/// read that answer.
const LINGER_TIMEOUT: Millis = Millis::from_secs(1);

/// How many bytes the caller may still send in that time.
const LINGER_BYTES: usize = 256 * 1024;

/// Counts of a connection that ended without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSummary {
    /// Requests whose answers were written completely.
    pub answered: u64,
    /// Requests refused before they reached a handler; 0 or 1, because the connection is then
    /// closed.
    pub refused: u64,
}

quick_error! {
    /// Why a connection was closed before an answer was complete.
    #[derive(Debug)]
    pub enum ServerError {
        /// The answer's body failed or was truncated. Closing the connection tells the caller that
        /// the answer isn't complete.
        Body(cause: io::Error) {
            display("reading the answer's body failed: {cause}")
            source(cause)
        }
        /// The caller closed the connection before the answer was written completely.
        Disconnected {
            display("the caller closed the connection")
        }
        /// The caller read nothing within the write timeout.
        Stalled {
            display("the caller stopped reading")
        }
        /// The caller hadn't read the answer by its deadline.
        Overdue {
            display("the caller read too slowly")
        }
        /// The socket failed.
        Io(cause: io::Error) {
            display("the connection failed: {cause}")
            source(cause)
        }
    }
}

impl From<TransmitError> for ServerError {
    fn from(error: TransmitError) -> ServerError {
        match error {
            TransmitError::Source(cause) => ServerError::Body(cause),
            TransmitError::Sink(cause) => ServerError::Io(cause),
            TransmitError::Stalled => ServerError::Stalled,
            TransmitError::Overdue => ServerError::Overdue,
        }
    }
}

/// Serves the requests of a connection until it ends.
///
/// The handler is called for one request at a time. Dropping the returned future closes the
/// connection. A disconnect of the caller while an answer is streamed also closes it and drops the
/// answer's body.
///
/// # Errors
///
/// Fails when an answer couldn't be written completely. The connection is then closed, so that the
/// caller can tell that the answer is truncated.
pub async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: &ServerLimits,
    handler: H,
) -> Result<ConnectionSummary, ServerError>
where
    H: Fn(Request, Hangup) -> F,
    F: Future<Output = Response>,
{
    serve_until(stream, limits, &StopSignal::new(), handler).await
}

/// Like [`serve_connection`], but answers the current request and closes the connection after
/// `stop`.
///
/// # Errors
///
/// As [`serve_connection`].
pub async fn serve_until<H, F>(
    stream: TcpStream,
    limits: &ServerLimits,
    stop: &StopSignal,
    handler: H,
) -> Result<ConnectionSummary, ServerError>
where
    H: Fn(Request, Hangup) -> F,
    F: Future<Output = Response>,
{
    let seat = Waits::default().open();
    serve_seat(stream, seat, limits, stop, handler).await
}

/// Like [`serve_until`], for a connection that shares its waits with others.
pub(crate) async fn serve_seat<H, F>(
    stream: TcpStream,
    seat: Arc<Seat>,
    limits: &ServerLimits,
    stop: &StopSignal,
    handler: H,
) -> Result<ConnectionSummary, ServerError>
where
    H: Fn(Request, Hangup) -> F,
    F: Future<Output = Response>,
{
    // With Nagle's algorithm a token would wait until the caller acknowledged the previous one.
    stream.set_nodelay(true).map_err(ServerError::Io)?;
    let connection = Connection::new(stream);
    let _shutdown = ShutdownOnDrop(connection.clone());
    let mut summary = ConnectionSummary {
        answered: 0,
        refused: 0,
    };
    loop {
        let incoming = match next_request(&connection, &seat, limits, stop).await {
            Next::Request(incoming) => incoming,
            Next::End => return Ok(summary),
            Next::Refused(status) => {
                summary.refused += 1;
                respond(
                    &connection,
                    &seat,
                    limits,
                    refusal(limits, status),
                    Method::Get,
                )
                .await?;
                linger(&connection).await;
                return Ok(summary);
            }
        };
        let method = incoming.request.method();
        let close_requested = has_connection_option(incoming.request.as_ref(), "close");
        let framing = incoming.framing;
        let hangup = Hangup::new(connection.clone());
        // The state of a handler is large. Boxed, it takes memory only until it returns the answer.
        let mut response = Box::pin(handler(incoming.request, hangup)).await;
        let unread = has_unread_body(&connection, framing);
        let close = close_requested
            || unread
            || framing == Framing::Chunked
            || stop.is_stopped()
            || has_connection_option(response.as_ref(), "close");
        if close {
            response.insert_header(CONNECTION, "close");
        }
        respond(&connection, &seat, limits, response, method).await?;
        summary.answered += 1;
        if close {
            linger(&connection).await;
            return Ok(summary);
        }
        // Requests that were sent one behind the other are read without a wait.
        task::yield_now().await;
    }
}

/// Whether bytes of the request's body may still arrive, which would be parsed as the next request.
fn has_unread_body(connection: &Connection, framing: Framing) -> bool {
    match framing {
        Framing::Length(_) => connection.remaining() > 0,
        Framing::Chunked | Framing::Close => true,
    }
}

/// Writes one answer, and stops when the caller disconnects, or when its connection or its memory is needed and it
/// doesn't read.
async fn respond(
    connection: &Arc<Connection>,
    seat: &Seat,
    limits: &ServerLimits,
    mut response: Response,
    method: Method,
) -> Result<(), ServerError> {
    sanitize_headers(response.as_mut());
    enforce_body_length(&mut response);
    let overdue = response.ext().get::<AnswerTimeout>();
    let overdue = overdue.map(|timeout| Overdue::after(timeout.0));
    let (wait, registration) = seat.begin(WaitKind::Answer, &limits.wait);
    if let Some(AnswerMemory(bytes)) = response.ext().get::<AnswerMemory>() {
        wait.set_reserved(*bytes);
    }
    let encoder = Encoder::new(response, method);
    let transmit = Transmit::new(encoder, connection.clone(), limits.write_timeout);
    let transmit = transmit.until(overdue).count_wait(wait);
    let transmit = Abortable::new(transmit, registration);
    let closed = PollOnWake::new(connection.closed());
    match select(transmit, closed).await {
        Either::Left((Ok(result), _)) => Ok(result?),
        Either::Left((Err(Aborted), _)) => Err(ServerError::Stalled),
        Either::Right(_) => Err(ServerError::Disconnected),
    }
}

/// Closes the connection such that the caller can still read the last answer.
///
/// Closing a socket with unread bytes resets the connection, and a reset discards what the caller
/// hasn't read yet. The writing side is therefore closed first, and received bytes are discarded.
async fn linger(connection: &Connection) {
    if connection.stream().shutdown(Shutdown::Write).is_ok() {
        let _ = timeout(LINGER_TIMEOUT.into(), connection.discard(LINGER_BYTES)).await;
    }
}

/// Closes the connection when the serving future is dropped, even if a [`Hangup`] still holds the
/// socket.
struct ShutdownOnDrop(Arc<Connection>);

impl Drop for ShutdownOnDrop {
    fn drop(&mut self) {
        self.0.shutdown();
    }
}
