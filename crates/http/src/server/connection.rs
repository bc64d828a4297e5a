//! Answering the requests of one connection.

use std::future::Future;
use std::io;
use std::sync::Arc;

use async_h1::server::Encoder;
use async_std::future::timeout;
use async_std::io::Read;
use async_std::net::Shutdown;
use async_std::net::TcpStream;
use crocushold_base::Millis;
use futures::future::Either;
use futures::future::select;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::headers::CONNECTION;
use quick_error::quick_error;

use super::exact::exact;
use super::hangup::Hangup;
use super::limits::ServerLimits;
use super::receive::Next;
use super::receive::next_request;
use super::refusal::refusal;
use super::stop::StopSignal;
use crate::framing::Framing;
use crate::headers::clean_headers;
use crate::headers::has_connection_option;

use crate::transmit::Transmit;
use crate::transmit::TransmitError;
use crate::watch::Watch;
use crate::wire::Wire;

/// How long a connection that is closed after a refusal stays open for the caller to read it.
const LINGER: Millis = Millis::from_secs(1);

/// How much such a caller may still send.
const LINGER_BYTES: usize = 256 * 1024;

/// What a connection that ended well did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSummary {
    /// Requests whose answers were written whole.
    pub answered: u64,
    /// Requests that were refused before a handler saw them (0 or 1: the connection ends there).
    pub refused: u64,
}

quick_error! {
    /// Why a connection was cut in the middle of an answer.
    #[derive(Debug)]
    pub enum ServerError {
        /// The answer's body failed or ended short; closing tells the caller that it isn't whole.
        Body(cause: io::Error) {
            display("the answer's body failed: {cause}")
            source(cause)
        }
        /// The caller closed the connection before the answer was written whole.
        HungUp {
            display("the caller hung up")
        }
        /// The caller took nothing for too long.
        Stalled {
            display("the caller stopped reading")
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
        }
    }
}

/// Answers the requests of a connection until it ends.
///
/// The handler is called for one request at a time. Dropping the returned future cuts the
/// connection; so does a hang-up while an answer is streamed, which drops the answer's body.
///
/// # Errors
///
/// Fails when an answer couldn't be written whole; the connection is closed then, so that what the
/// caller has doesn't look whole.
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

/// Like [`serve_connection`]; after `stop` it answers the request at hand and closes.
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
    // Without it a token waits until the caller acknowledged the one before.
    stream.set_nodelay(true).map_err(ServerError::Io)?;
    let wire = Wire::new(stream);
    let _cut = CutOnDrop(wire.clone());
    let mut served = ConnectionSummary {
        answered: 0,
        refused: 0,
    };
    loop {
        let incoming = match next_request(&wire, limits, stop).await {
            Next::Request(incoming) => incoming,
            Next::End => return Ok(served),
            Next::Refused(status) => {
                served.refused += 1;
                respond(&wire, limits, refusal(limits, status), Method::Get).await?;
                linger(&wire).await;
                return Ok(served);
            }
        };
        let method = incoming.request.method();
        let asked_close = has_connection_option(incoming.request.as_ref(), "close");
        let framing = incoming.framing;
        let mut response = handler(incoming.request, Hangup::new(wire.clone())).await;
        let unread = has_unread_body(&wire, framing);
        let close = asked_close
            || unread
            || framing == Framing::Chunked
            || stop.is_stopped()
            || has_connection_option(response.as_ref(), "close");
        if close {
            response.insert_header(CONNECTION, "close");
        }
        respond(&wire, limits, response, method).await?;
        served.answered += 1;
        if close {
            linger(&wire).await;
            return Ok(served);
        }
    }
}

/// Whether bytes of the request's body may still come, which would be read as the next request.
fn has_unread_body(wire: &Wire, framing: Framing) -> bool {
    match framing {
        Framing::Length(_) => wire.allowance() > 0,
        Framing::Chunked | Framing::Close => true,
    }
}

/// Writes one answer, watching for the caller to hang up.
async fn respond(
    wire: &Arc<Wire>,
    limits: &ServerLimits,
    mut response: Response,
    method: Method,
) -> Result<(), ServerError> {
    clean_headers(response.as_mut());
    exact(&mut response);
    let encoder = Encoder::new(response, method);
    transmit(wire, limits, encoder).await
}

async fn transmit(
    wire: &Arc<Wire>,
    limits: &ServerLimits,
    source: impl Read + Unpin,
) -> Result<(), ServerError> {
    let transmit = Transmit::new(source, wire.clone(), limits.write_timeout);
    let hangup = Watch::new(wire.closed());
    match select(transmit, hangup).await {
        Either::Left((result, _)) => Ok(result?),
        Either::Right(_) => Err(ServerError::HungUp),
    }
}

/// Closes so that the caller can still read the last answer.
///
/// Closing a socket with unread bytes resets the connection, and a reset throws away what the
/// caller hasn't read yet. So the sending side is closed first and what still comes is dropped.
async fn linger(wire: &Wire) {
    if wire.stream().shutdown(Shutdown::Write).is_ok() {
        let _ = timeout(LINGER.into(), wire.discard(LINGER_BYTES)).await;
    }
}

/// Cuts the connection with the future that serves it, although a [`Hangup`] still holds the socket.
struct CutOnDrop(Arc<Wire>);

impl Drop for CutOnDrop {
    fn drop(&mut self) {
        self.0.cut();
    }
}
