//! One request and its answer.

use std::io;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpStream;

use super::client::Client;
use super::response::Response;

/// Bytes read from a connection at a time.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// How a request ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer arrived, and it was the request's own.
    Complete,
    /// An error status came.
    Refused,
    /// The answer, or the connection before it, ended early.
    Cut,
    /// Tokens of another request came.
    Misdelivered,
    /// Tokens were missing, repeated or out of order in an answer that claims to be whole.
    Disordered,
    /// Nothing more came in time.
    TimedOut,
    /// The caller left as planned.
    GaveUp,
    /// No entry took the connection.
    ConnectFailed,
}

/// What was seen of one request.
#[derive(Debug)]
pub struct Exchange {
    /// How it ended.
    pub outcome: RequestOutcome,
    /// The answer, as far as it came.
    pub response: Response,
    /// When the first token, or the head of an answer that isn't streamed, came; counted from the time due.
    pub first_token: Option<Duration>,
    /// The gaps between tokens, in microseconds.
    pub token_gaps: Vec<u32>,
    /// When it ended; counted from the time due.
    pub duration: Duration,
}

/// When a caller stops waiting.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitLimits {
    pub(super) timeout: Duration,
    pub(super) give_up: Option<Duration>,
}

/// A request that is ready to be sent.
pub(super) struct OutgoingRequest {
    pub(super) bytes: Vec<u8>,
    pub(super) response: Response,
    /// Tokens that the answer must have; none for a plain call.
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

/// Sends a request and reads its answer.
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
        // An answer may come although the request couldn't be written to its end.
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

    /// Reads until the answer is whole or the connection ends.
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
                // Bytes after the end of the answer: they'd complete somebody else's.
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

    /// The connection ended before the framing said that the answer was whole.
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
