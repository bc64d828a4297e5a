//! Response bodies: streams of tokens and truncated bodies.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use async_std::net::TcpStream;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::poll_fn;
use futures::io::AsyncBufRead;
use futures::io::AsyncRead;

use super::core::AdmittedRequest;
use super::fault::Cut;
use super::progress::JobState;
use super::server::Engine;
use super::text::ResponseText;
use crate::port;

/// A request in the engine. If it is dropped before its end is recorded, it counts as cancelled by
/// the client, or as failed if the engine has crashed.
pub(super) struct ActiveRequest {
    engine: Arc<Engine>,
    pub(super) admitted: AdmittedRequest,
    marker: String,
    recorded: bool,
}

impl ActiveRequest {
    pub(super) fn new(
        engine: Arc<Engine>,
        admitted: AdmittedRequest,
        marker: String,
    ) -> ActiveRequest {
        ActiveRequest {
            engine,
            admitted,
            marker,
            recorded: false,
        }
    }

    /// Records that the complete response was handed over.
    pub(super) fn complete(&mut self) {
        if !self.recorded {
            self.recorded = true;
            self.engine.record_complete(self.admitted.length);
        }
    }

    /// Records that a fault ended the response.
    pub(super) fn fail(&mut self) {
        if !self.recorded {
            self.recorded = true;
            let tokens = self.admitted.progress.tokens();
            self.engine.record_failed(self.admitted.id, tokens);
        }
    }

    /// Waits until `tokens` tokens are generated. Returns an error if the engine crashes or the
    /// client disconnects.
    pub(super) async fn tokens(&self, tokens: u32, conn: TcpStream) -> io::Result<()> {
        let mut disconnected = port::client_disconnected(conn).boxed();
        poll_fn(|cx| {
            let progress = &self.admitted.progress;
            progress.register(cx.waker());
            if progress.tokens() >= tokens {
                return Poll::Ready(Ok(()));
            }
            if progress.state() == JobState::Lost || disconnected.poll_unpin(cx).is_ready() {
                return Poll::Ready(Err(port::connection_aborted()));
            }
            Poll::Pending
        })
        .await
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if self.recorded {
            return;
        }
        if self.admitted.progress.state() == JobState::Lost {
            self.fail();
            return;
        }
        let tokens = self.admitted.progress.tokens();
        self.engine
            .record_cancelled(self.admitted.id, &self.marker, tokens);
    }
}

/// A streamed response body. Each read returns one token, so that each write sends one token.
pub(super) struct TokenStream {
    request: ActiveRequest,
    text: ResponseText,
    written: u32,
    ended: bool,
    buf: Vec<u8>,
    position: usize,
    // The mutex only makes the type `Sync`, which a body must be; there is a single reader.
    disconnected: Mutex<BoxFuture<'static, ()>>,
}

impl TokenStream {
    pub(super) fn new(request: ActiveRequest, text: ResponseText, conn: TcpStream) -> TokenStream {
        TokenStream {
            request,
            text,
            written: 0,
            ended: false,
            buf: Vec::new(),
            position: 0,
            disconnected: Mutex::new(port::client_disconnected(conn).boxed()),
        }
    }

    /// Returns the length of the complete stream in bytes.
    pub(super) fn total_len(&self) -> usize {
        let mut all = Vec::new();
        for token in 0..self.request.admitted.length {
            self.text.push_token_event(token, &mut all);
        }
        self.text.push_end_events(&mut all);
        all.len()
    }

    /// Writes the next event to the buffer, or leaves it empty at the end of the stream.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let faults = self.request.admitted.faults;
        if faults.cut.is_some_and(|cut| self.written >= cut.after) {
            self.request.fail();
            return Poll::Ready(Err(port::connection_aborted()));
        }
        let progress = &self.request.admitted.progress;
        progress.register(cx.waker());
        let stalled = faults.stall.is_some_and(|after| self.written >= after);
        if !stalled && progress.tokens() > self.written {
            self.text.push_token_event(self.written, &mut self.buf);
            self.written += 1;
            return Poll::Ready(Ok(()));
        }
        if !stalled && self.written == self.request.admitted.length {
            self.end();
            return Poll::Ready(Ok(()));
        }
        if progress.state() == JobState::Lost || self.poll_disconnected(cx) {
            return Poll::Ready(Err(port::connection_aborted()));
        }
        Poll::Pending
    }

    fn end(&mut self) {
        if !self.ended {
            self.ended = true;
            self.text.push_end_events(&mut self.buf);
        }
    }

    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> bool {
        let disconnected = self
            .disconnected
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        disconnected.poll_unpin(cx).is_ready()
    }
}

impl AsyncBufRead for TokenStream {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.position == this.buf.len() {
            this.position = 0;
            this.buf.clear();
            futures::ready!(this.poll_next(cx))?;
        }
        Poll::Ready(Ok(&this.buf[this.position..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.position += amount;
        if self.ended && self.position == self.buf.len() {
            self.request.complete();
        }
    }
}

impl AsyncRead for TokenStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let ready = futures::ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = ready.len().min(out.len());
        out[..count].copy_from_slice(&ready[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

/// A truncated body: bytes followed by an error, upon which the server closes the connection.
pub(super) struct TruncatedBody {
    bytes: Vec<u8>,
    position: usize,
}

impl TruncatedBody {
    /// Creates the body of a response that isn't streamed, truncated as `cut` states.
    pub(super) fn new(text: &ResponseText, cut: Cut) -> TruncatedBody {
        let mut bytes = text.full_body().into_bytes();
        bytes.truncate(text.full_body_prefix_len(cut.after));
        TruncatedBody { bytes, position: 0 }
    }
}

impl AsyncRead for TruncatedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let ready = futures::ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = ready.len().min(out.len());
        out[..count].copy_from_slice(&ready[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

impl AsyncBufRead for TruncatedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.position == this.bytes.len() {
            return Poll::Ready(Err(port::connection_aborted()));
        }
        Poll::Ready(Ok(&this.bytes[this.position..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.position += amount;
    }
}
