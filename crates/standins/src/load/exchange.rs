//! A request and its response.

use std::io;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpStream;

use super::client::Client;
use super::response::Response;

/// Size of the buffer for reads from a connection.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The outcome of a request, as the client observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response arrived, and it belongs to the request.
    Complete,
    /// The response has an error status.
    Refused,
    /// The response was truncated, or the connection ended before it.
    Cut,
    /// The response contains tokens of another request.
    Misdelivered,
    /// Tokens are missing, repeated or out of order in a response that claims to be complete.
    Disordered,
    /// The response wasn't complete before the timeout.
    TimedOut,
    /// The client disconnected as planned.
    GaveUp,
    /// No entry address accepted a connection.
    ConnectFailed,
}

/// The observed result of a request.
#[derive(Debug)]
pub struct Exchange {
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// The response, as far as it was received.
    pub response: Response,
    /// Time from the scheduled start to the first token, or to the head of a response that isn't
    /// streamed.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens, in microseconds.
    pub token_gaps: Vec<u32>,
    /// Time from the scheduled start to the end.
    pub duration: Duration,
}

/// The limits after which a client stops waiting.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitLimits {
    pub(super) timeout: Duration,
    pub(super) give_up: Option<Duration>,
}

/// A request to be sent.
pub(super) struct OutgoingRequest {
    pub(super) bytes: Vec<u8>,
    pub(super) response: Response,
    /// Expected number of tokens in the response; `None` for a plain call.
    pub(super) tokens: Option<u64>,
    pub(super) due: Instant,
    pub(super) limits: WaitLimits,
}

struct ResponseReader {
    response: Response,
    tokens: Option<u64>,
    due: Instant,
    first: Option<Duration>,
    last: Instant,
    gaps: Vec<u32>,
}

/// Sends a request and reads its response.
pub(super) async fn exchange(client: &Client, outgoing: OutgoingRequest) -> Exchange {
    let WaitLimits { timeout, give_up } = outgoing.limits;
    let due = outgoing.due;
    let limit = give_up.unwrap_or(timeout).min(timeout);
    let left = limit.saturating_sub(due.elapsed());
    let mut reader = ResponseReader {
        response: outgoing.response,
        tokens: outgoing.tokens,
        due,
        first: None,
        last: due,
        gaps: Vec::new(),
    };
    let exchanging = reader.send_and_receive(client, &outgoing.bytes);
    let outcome = match future::timeout(left, exchanging).await {
        Ok(outcome) => outcome,
        Err(_) if give_up.is_some_and(|after| after <= timeout) => RequestOutcome::GaveUp,
        Err(_) => RequestOutcome::TimedOut,
    };
    Exchange {
        outcome,
        response: reader.response,
        first_token: reader.first,
        token_gaps: reader.gaps,
        duration: due.elapsed(),
    }
}

impl ResponseReader {
    async fn send_and_receive(&mut self, client: &Client, request: &[u8]) -> RequestOutcome {
        let Ok(mut conn) = client.connect().await else {
            return RequestOutcome::ConnectFailed;
        };
        // A response may arrive even if the request couldn't be written completely.
        let written = conn.stream.write_all(request).await;
        let read = self.read(&mut conn.stream).await;
        if read.is_err() || !self.response.is_complete() {
            return self.classify_truncated();
        }
        let outcome = self.classify();
        if written.is_ok() && !closes_connection(&self.response) {
            client.release(conn);
        }
        outcome
    }

    /// Reads until the response is complete or the connection ends.
    async fn read(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let mut buf = vec![0; READ_BUFFER_BYTES];
        while !self.response.is_complete() {
            let count = stream.read(&mut buf).await?;
            if count == 0 {
                return Ok(());
            }
            let before = self.response.tokens();
            let fed = self.response.feed(&buf[..count]);
            let used = fed.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            self.record_token_times(before);
            if used < count {
                // Surplus bytes after the response would be read as part of the next one.
                return Err(io::Error::from(io::ErrorKind::InvalidData));
            }
        }
        Ok(())
    }

    fn record_token_times(&mut self, before: u64) {
        let after = self.response.tokens();
        let streamed = self.response.is_stream();
        let started = if streamed {
            after > 0
        } else {
            self.response.has_head()
        };
        if !started {
            return;
        }
        let now = Instant::now();
        let mut new_tokens = after - before;
        if self.first.is_none() {
            self.first = Some(now - self.due);
            self.last = now;
            new_tokens = new_tokens.saturating_sub(1);
        }
        for _ in 0..new_tokens {
            let gap = (now - self.last).as_micros();
            self.gaps.push(u32::try_from(gap).unwrap_or(u32::MAX));
            self.last = now;
        }
    }

    fn classify(&mut self) -> RequestOutcome {
        let response = &mut self.response;
        if response.status() >= 400 {
            return RequestOutcome::Refused;
        }
        if self.tokens.is_some() && !response.is_stream() {
            response.check_body();
        }
        if response.is_foreign() {
            return RequestOutcome::Misdelivered;
        }
        if response.is_stream() && !response.is_done() {
            return RequestOutcome::Cut;
        }
        let complete = self.tokens.is_none_or(|tokens| tokens == response.tokens());
        if response.is_disordered() || !complete {
            return RequestOutcome::Disordered;
        }
        RequestOutcome::Complete
    }

    /// Returns the outcome of a response that is incomplete according to its framing.
    fn classify_truncated(&self) -> RequestOutcome {
        if self.response.is_foreign() {
            return RequestOutcome::Misdelivered;
        }
        RequestOutcome::Cut
    }
}

fn closes_connection(response: &Response) -> bool {
    response
        .header("connection")
        .is_some_and(|value| value.contains("close"))
}
