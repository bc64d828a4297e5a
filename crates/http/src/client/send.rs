//! Sending a request to a backend server.

use std::fmt;
use std::pin::pin;
use std::sync::Arc;

use async_std::future::timeout;
use async_std::net::SocketAddr;
use async_std::net::TcpStream;
use crocushold_base::Clock;
use crocushold_base::Millis;
use futures::future::Either;
use futures::future::select;
use http_types::Headers;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::headers::HOST;

use super::cancel::Cancel;
use super::error::SendError;
use super::error::SendErrorKind;
use super::error::Stage;
use super::exchange::Exchange;
use super::limits::PoolLimits;
use super::limits::Reuse;
use super::limits::SendLimits;
use super::pool::Pool;
use super::receive::AnswerHead;
use super::receive::answer_framing;
use super::receive::early_answer;
use super::receive::final_head;
use super::receive::names_forbidden_body;
use super::receive::read_answer;
use super::relay_body::PoolReturn;
use super::relay_body::RelayBody;
use super::request_encoder::RequestEncoder;
use crate::connection::Connection;
use crate::framing::Framing;
use crate::headers::has_connection_option;
use crate::headers::sanitize_headers;
use crate::keepalive::end_unacknowledged;
use crate::request_target::RequestTarget;
use crate::transmit::Transmit;
use crate::transmit::TransmitError;

/// How much longer to wait for a connection after its timeout, in case the timeout elapsed while
/// the process was suspended.
const CONNECT_GRACE: Millis = Millis(50);

/// Sends requests to backend servers and keeps connections for reuse.
#[derive(Clone)]
pub struct Client {
    pool: Arc<Pool>,
}

/// An answer whose body hasn't been read yet.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers without the framing headers; copy them with
    /// [`relay_headers`](crate::relay_headers).
    pub headers: Headers,
    /// The body.
    pub body: RelayBody,
    /// Cancels the answer.
    pub cancel: Cancel,
    /// Whether the connection had carried an earlier request.
    pub reused: bool,
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
    /// The target is the request's [`RequestTarget`](crate::RequestTarget) if it has one, else the path and the query of its
    /// URL.
    ///
    /// Dropping the future closes the connection, which cancels the request at the server.
    ///
    /// # Errors
    ///
    /// Fails when no valid head of an answer arrives. The stage of the error says whether the
    /// server may have run the request.
    pub async fn send(
        &self,
        server: SocketAddr,
        mut request: Request,
        limits: &SendLimits,
        reuse: Reuse,
    ) -> Result<Answer, SendError> {
        let exchange = self.connect(server, limits, reuse).await?;
        let method = request.method();
        if RequestTarget::of(&request).is_some() && request.header(HOST).is_none() {
            request.insert_header(HOST, server.to_string());
        }
        let clock = Clock::start();
        let started = clock.now();
        let head = exchange_heads(&exchange, request, limits).await?;
        let mut answer = self.answer(&exchange, server, method, head, limits)?;
        answer.body.set_awaited(clock.now().since(started));
        Ok(answer)
    }

    async fn connect(
        &self,
        server: SocketAddr,
        limits: &SendLimits,
        reuse: Reuse,
    ) -> Result<Exchange, SendError> {
        if reuse == Reuse::Allowed
            && let Some(connection) = self.pool.take(server)
        {
            return Ok(Exchange {
                written_before: connection.written(),
                connection,
                reused: true,
            });
        }
        let stream = open_connection(server, limits)
            .await
            .map_err(|kind| SendError {
                stage: Stage::NotConnected,
                kind,
                reused: false,
            })?;
        Ok(Exchange {
            connection: Connection::new(stream),
            written_before: 0,
            reused: false,
        })
    }

    fn answer(
        &self,
        exchange: &Exchange,
        server: SocketAddr,
        method: Method,
        head: AnswerHead,
        limits: &SendLimits,
    ) -> Result<Answer, SendError> {
        let AnswerHead {
            mut response,
            early,
        } = head;
        let framing = answer_framing(&response, method, limits.close_delimited)
            .map_err(|kind| exchange.error(Stage::Answered, kind))?;
        if matches!(framing, Framing::Length(length) if length > limits.answer_bytes) {
            return Err(exchange.error(Stage::Answered, SendErrorKind::BodyTooLarge));
        }
        // After an early answer the server would take the next request for the rest of this one.
        let closes = early
            || framing == Framing::Close
            || has_connection_option(response.as_ref(), "close")
            || names_forbidden_body(&response);
        let pool_return = (!closes).then(|| PoolReturn {
            pool: self.pool.clone(),
            server,
        });
        let connection = exchange.connection.clone();
        let body = connection.begin_body(framing, framing.max_answer_bytes());
        let status = response.status();
        let mut body = RelayBody::new(body, framing, connection, pool_return, limits);
        if early {
            body.distrust_end();
        }
        let cancel = body.cancel();
        sanitize_headers(response.as_mut());
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

async fn open_connection(
    server: SocketAddr,
    limits: &SendLimits,
) -> Result<TcpStream, SendErrorKind> {
    let mut connect = pin!(TcpStream::connect(server));
    let connected = match timeout(limits.connect_timeout.into(), connect.as_mut()).await {
        Ok(connected) => connected,
        // The timeout may have elapsed while the process was suspended. The connection may then be
        // established already, but the timer is processed first, and a reachable server would count
        // as unreachable: the caller would be refused, and no further requests sent to that server.
        // The kernel reports the connection in the first round of events after the pause, so a
        // short extra wait is enough.
        Err(_) => timeout(CONNECT_GRACE.into(), connect)
            .await
            .map_err(|_| SendErrorKind::ConnectTimeout)?,
    };
    let stream = connected.map_err(SendErrorKind::Connect)?;
    stream.set_nodelay(true).map_err(SendErrorKind::Connect)?;
    end_unacknowledged(&stream, limits.ack_timeout).map_err(SendErrorKind::Connect)?;
    Ok(stream)
}

/// Writes the request and reads the head of the answer, which may arrive while the request is
/// written.
///
/// A server may answer after the head of a request and read its body later. If the body were
/// written completely first, a long one would delay the answer until then.
async fn exchange_heads(
    exchange: &Exchange,
    request: Request,
    limits: &SendLimits,
) -> Result<AnswerHead, SendError> {
    let written = pin!(write_request(exchange, request, limits));
    let head = pin!(final_head(exchange));
    match select(written, head).await {
        Either::Left((Ok(()), _)) => {
            let response = read_answer(exchange, limits.head_timeout).await?;
            Ok(AnswerHead {
                response,
                early: false,
            })
        }
        Either::Left((Err(error), _)) => early_answer(exchange, limits, error).await,
        Either::Right((Ok(response), _)) => Ok(AnswerHead {
            response,
            early: true,
        }),
        Either::Right((Err(mut error), _)) => {
            if exchange.write_stage() == Stage::Connected {
                error.stage = Stage::Connected;
            }
            Err(error)
        }
    }
}

async fn write_request(
    exchange: &Exchange,
    mut request: Request,
    limits: &SendLimits,
) -> Result<(), SendError> {
    sanitize_headers(request.as_mut());
    let encoder = RequestEncoder::new(request);
    let transmit = Transmit::new(encoder, exchange.connection.clone(), limits.write_timeout);
    let Err(error) = transmit.await else {
        return Ok(());
    };
    let kind = match error {
        TransmitError::Source(cause) => SendErrorKind::Body(cause),
        TransmitError::Sink(cause) => SendErrorKind::Write(cause),
        TransmitError::Stalled | TransmitError::Overdue => SendErrorKind::WriteTimeout,
    };
    Err(exchange.error(exchange.write_stage(), kind))
}
