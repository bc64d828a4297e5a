//! Sending a request to a backend server.

use std::fmt;
use std::sync::Arc;

use async_h1::client::Encoder;
use async_std::future::timeout;
use async_std::net::SocketAddr;
use async_std::net::TcpStream;
use crocushold_base::Millis;
use http_types::Headers;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::CONNECTION;
use http_types::headers::CONTENT_LENGTH;
use http_types::headers::TRANSFER_ENCODING;

use super::cancel::Cancel;
use super::error::SendError;
use super::error::SendErrorKind;
use super::error::Stage;
use super::limits::PoolLimits;
use super::limits::Reuse;
use super::limits::SendLimits;
use super::pool::Pool;
use super::relay_body::Framing;
use super::relay_body::Home;
use super::relay_body::RelayBody;
use crate::headers::clean_headers;
use crate::headers::has_connection_option;
use crate::transmit::Transmit;
use crate::transmit::TransmitError;
use crate::wire::Gate;
use crate::wire::HeadError;
use crate::wire::Wire;

/// The longest head that async-h1 parses, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;

/// How long to look for an answer after a write failed.
const EARLY_TIMEOUT: Millis = Millis::from_secs(1);

/// Sends requests to backend servers and keeps connections for reuse.
#[derive(Clone)]
pub struct Client {
    pool: Arc<Pool>,
}

/// An answer whose body is still to come.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers, without the framing; pass them on with [`relay_headers`](crate::relay_headers).
    pub headers: Headers,
    /// The body.
    pub body: RelayBody,
    /// Cuts the answer off.
    pub cancel: Cancel,
    /// Whether the connection had carried an earlier request.
    pub reused: bool,
}

/// A connection on its way through one exchange.
struct Exchange {
    wire: Arc<Wire>,
    /// What the connection had written before this request.
    written: u64,
    reused: bool,
}

impl Exchange {
    fn stage(&self) -> Stage {
        if self.wire.written() == self.written {
            Stage::Connected
        } else {
            Stage::Written
        }
    }

    /// The stage while the head of the answer is awaited.
    fn answered(&self) -> Stage {
        if self.wire.has_unread() {
            Stage::Answered
        } else {
            Stage::Written
        }
    }

    fn error(&self, stage: Stage, kind: SendErrorKind) -> SendError {
        SendError {
            stage,
            kind,
            reused: self.reused,
        }
    }
}

impl Client {
    /// Makes a client without connections.
    pub fn new(limits: PoolLimits) -> Client {
        Client {
            pool: Arc::new(Pool::new(limits)),
        }
    }

    /// The number of connections kept for reuse.
    pub fn idle_connections(&self) -> usize {
        self.pool.len()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// Dropping the future cuts the connection, which cancels the request at the server.
    ///
    /// # Errors
    ///
    /// Fails when the head of an answer doesn't arrive; the stage tells whether the request left.
    pub async fn send(
        &self,
        server: SocketAddr,
        request: Request,
        limits: &SendLimits,
        reuse: Reuse,
    ) -> Result<Answer, SendError> {
        let exchange = self.connect(server, limits, reuse).await?;
        let method = request.method();
        let written = write_request(&exchange, request, limits).await;
        let response = match written {
            Ok(()) => read_answer(&exchange, limits.head_timeout).await?,
            Err(error) => early_answer(&exchange, limits, error).await?,
        };
        self.answer(&exchange, server, method, response, limits)
    }

    async fn connect(
        &self,
        server: SocketAddr,
        limits: &SendLimits,
        reuse: Reuse,
    ) -> Result<Exchange, SendError> {
        if reuse == Reuse::Allowed
            && let Some(wire) = self.pool.take(server)
        {
            return Ok(Exchange {
                written: wire.written(),
                wire,
                reused: true,
            });
        }
        let stream = open(server, limits).await.map_err(|kind| SendError {
            stage: Stage::NotConnected,
            kind,
            reused: false,
        })?;
        Ok(Exchange {
            wire: Wire::new(stream),
            written: 0,
            reused: false,
        })
    }

    fn answer(
        &self,
        exchange: &Exchange,
        server: SocketAddr,
        method: Method,
        mut response: Response,
        limits: &SendLimits,
    ) -> Result<Answer, SendError> {
        let Some(framing) = framing(&response, method) else {
            return Err(exchange.error(Stage::Answered, SendErrorKind::Unframed));
        };
        let home = (!has_connection_option(response.as_ref(), "close")).then(|| Home {
            pool: self.pool.clone(),
            server,
        });
        exchange.wire.allow(match framing {
            Framing::Length(length) => length,
            Framing::Chunked => u64::MAX,
        });
        let status = response.status();
        let wire = exchange.wire.clone();
        let body = RelayBody::new(
            response.take_body(),
            framing,
            wire,
            home,
            limits.stall_timeout,
        );
        let cancel = body.cancel();
        clean_headers(response.as_mut());
        let headers: &Headers = response.as_ref();
        Ok(Answer {
            status,
            headers: headers.clone(),
            body,
            cancel,
            reused: exchange.reused,
        })
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("idle_connections", &self.idle_connections())
            .finish_non_exhaustive()
    }
}

async fn open(server: SocketAddr, limits: &SendLimits) -> Result<TcpStream, SendErrorKind> {
    let connect = TcpStream::connect(server);
    let stream = match timeout(limits.connect_timeout.into(), connect).await {
        Ok(connected) => connected.map_err(SendErrorKind::Connect)?,
        Err(_) => return Err(SendErrorKind::ConnectTimeout),
    };
    stream.set_nodelay(true).map_err(SendErrorKind::Connect)?;
    Ok(stream)
}

async fn write_request(
    exchange: &Exchange,
    mut request: Request,
    limits: &SendLimits,
) -> Result<(), SendError> {
    clean_headers(request.as_mut());
    let encoder = Encoder::new(request);
    let transmit = Transmit::new(encoder, exchange.wire.clone(), limits.write_timeout);
    let Err(error) = transmit.await else {
        return Ok(());
    };
    let kind = match error {
        TransmitError::Source(cause) => SendErrorKind::Body(cause),
        TransmitError::Sink(cause) => SendErrorKind::Write(cause),
        TransmitError::Stalled => SendErrorKind::WriteTimeout,
    };
    Err(exchange.error(exchange.stage(), kind))
}

/// Looks for an answer that the server gave before it had the whole request.
///
/// A server that refuses a request by its head answers and closes while the body is still being
/// written. The write fails then, but the answer is there, and it says more than the failure.
async fn early_answer(
    exchange: &Exchange,
    limits: &SendLimits,
    error: SendError,
) -> Result<Response, SendError> {
    let closed = matches!(error.kind, SendErrorKind::Write(_));
    if !closed || error.stage != Stage::Written {
        return Err(error);
    }
    let span = limits.head_timeout.min(EARLY_TIMEOUT);
    let Ok(mut response) = read_answer(exchange, span).await else {
        return Err(error);
    };
    // Part of the request is missing on this connection, so it can't carry another.
    response.insert_header(CONNECTION, "close");
    Ok(response)
}

async fn read_answer(exchange: &Exchange, span: Millis) -> Result<Response, SendError> {
    match timeout(span.into(), final_head(exchange)).await {
        Ok(result) => result,
        Err(_) => Err(exchange.error(exchange.answered(), SendErrorKind::HeadTimeout)),
    }
}

/// Reads heads until one is final; interim answers (1xx) are dropped.
async fn final_head(exchange: &Exchange) -> Result<Response, SendError> {
    let wire = &exchange.wire;
    loop {
        let length = wire
            .read_head(MAX_HEAD_BYTES)
            .await
            .map_err(|error| head_error(exchange, error))?;
        wire.with_head(length, replace_non_ascii);
        wire.allow(length as u64);
        // The whole head is at hand, so this doesn't wait. It is boxed because its state holds room
        // for 128 headers, which every future around it would hold as well, for as long as it lives.
        let decoded = Box::pin(async_h1::client::decode(Gate(wire.clone()))).await;
        let response = decoded.map_err(|error| {
            let kind = SendErrorKind::HeadMalformed(error.to_string());
            exchange.error(Stage::Answered, kind)
        })?;
        if response.status() == StatusCode::SwitchingProtocols {
            let kind = SendErrorKind::HeadMalformed("upgrade that wasn't asked for".to_owned());
            return Err(exchange.error(Stage::Answered, kind));
        }
        if !response.status().is_informational() {
            return Ok(response);
        }
    }
}

fn head_error(exchange: &Exchange, error: HeadError) -> SendError {
    match error {
        HeadError::Closed => exchange.error(exchange.answered(), SendErrorKind::Closed),
        HeadError::Io(cause) => exchange.error(exchange.answered(), SendErrorKind::Read(cause)),
        HeadError::TooLarge => exchange.error(Stage::Answered, SendErrorKind::HeadTooLarge),
        HeadError::Malformed => {
            let kind = SendErrorKind::HeadMalformed("bare line feeds".to_owned());
            exchange.error(Stage::Answered, kind)
        }
    }
}

/// http-types panics on a value that isn't ASCII. The request did run, so its answer is worth more
/// than the exact spelling of such a header.
fn replace_non_ascii(head: &mut [u8]) {
    for byte in head.iter_mut().filter(|byte| !byte.is_ascii()) {
        *byte = b'?';
    }
}

/// How the answer's body ends; nothing when only the end of the connection would tell.
fn framing(response: &Response, method: Method) -> Option<Framing> {
    let empty = matches!(
        response.status(),
        StatusCode::NoContent | StatusCode::NotModified
    );
    if empty || method == Method::Head {
        return Some(Framing::Length(0));
    }
    if let Some(codings) = response.header(TRANSFER_ENCODING) {
        let mut values = codings.iter();
        let chunked = values
            .next()
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("chunked"));
        return (chunked && values.next().is_none()).then_some(Framing::Chunked);
    }
    let lengths = response.header(CONTENT_LENGTH)?;
    let first = lengths.iter().next()?.as_str();
    let agree = lengths.iter().all(|value| value.as_str() == first);
    let digits = first.bytes().all(|byte| byte.is_ascii_digit());
    if !agree || !digits {
        return None;
    }
    first.parse().ok().map(Framing::Length)
}
