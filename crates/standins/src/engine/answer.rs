//! Answers in progress: the stream of tokens, and bodies that end too early.

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

use super::core::Started;
use super::fault::Cut;
use super::progress::Outcome;
use super::server::Engine;
use super::text::Texts;
use crate::port;

/// A request in the engine. Dropped before it is settled, it counts as cancelled by its caller.
pub(super) struct Run {
    engine: Arc<Engine>,
    pub(super) started: Started,
    marker: String,
    settled: bool,
}

impl Run {
    pub(super) fn new(engine: Arc<Engine>, started: Started, marker: String) -> Run {
        Run {
            engine,
            started,
            marker,
            settled: false,
        }
    }

    /// The whole answer was handed over.
    pub(super) fn complete(&mut self) {
        if !self.settled {
            self.settled = true;
            self.engine.settle_complete(self.started.length);
        }
    }

    /// The answer was ended by a fault.
    pub(super) fn fail(&mut self) {
        if !self.settled {
            self.settled = true;
            let tokens = self.started.progress.tokens();
            self.engine.settle_failed(self.started.id, tokens);
        }
    }

    /// Waits until `tokens` tokens are there; an error when the engine crashed or the caller left.
    pub(super) async fn tokens(&self, tokens: u32, conn: TcpStream) -> io::Result<()> {
        let mut gone = port::hang_up(conn).boxed();
        poll_fn(|cx| {
            let progress = &self.started.progress;
            progress.register(cx.waker());
            if progress.tokens() >= tokens {
                return Poll::Ready(Ok(()));
            }
            if progress.outcome() == Outcome::Lost || gone.poll_unpin(cx).is_ready() {
                return Poll::Ready(Err(port::aborted()));
            }
            Poll::Pending
        })
        .await
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        if self.started.progress.outcome() == Outcome::Lost {
            self.fail();
            return;
        }
        let tokens = self.started.progress.tokens();
        self.engine
            .settle_cancelled(self.started.id, &self.marker, tokens);
    }
}

/// A streamed answer: one read gives one token, so that one write carries one token.
pub(super) struct TokenStream {
    run: Run,
    texts: Texts,
    written: u32,
    ended: bool,
    buf: Vec<u8>,
    at: usize,
    // Behind a mutex only because a body must be `Sync`; there is one reader.
    gone: Mutex<BoxFuture<'static, ()>>,
}

impl TokenStream {
    pub(super) fn new(run: Run, texts: Texts, conn: TcpStream) -> TokenStream {
        TokenStream {
            run,
            texts,
            written: 0,
            ended: false,
            buf: Vec::new(),
            at: 0,
            gone: Mutex::new(port::hang_up(conn).boxed()),
        }
    }

    /// Bytes that the whole stream would have.
    pub(super) fn total_len(&self) -> usize {
        let mut all = Vec::new();
        for token in 0..self.run.started.length {
            self.texts.push_token(token, &mut all);
        }
        self.texts.push_end(&mut all);
        all.len()
    }

    /// Puts the next event into the buffer; leaves it empty at the end of the stream.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let fate = self.run.started.fate;
        if fate.cut.is_some_and(|cut| self.written >= cut.after) {
            self.run.fail();
            return Poll::Ready(Err(port::aborted()));
        }
        let progress = &self.run.started.progress;
        progress.register(cx.waker());
        let stalled = fate.stall.is_some_and(|after| self.written >= after);
        if !stalled && progress.tokens() > self.written {
            self.texts.push_token(self.written, &mut self.buf);
            self.written += 1;
            return Poll::Ready(Ok(()));
        }
        if !stalled && self.written == self.run.started.length {
            self.end();
            return Poll::Ready(Ok(()));
        }
        if progress.outcome() == Outcome::Lost || self.poll_gone(cx) {
            return Poll::Ready(Err(port::aborted()));
        }
        Poll::Pending
    }

    fn end(&mut self) {
        if !self.ended {
            self.ended = true;
            self.texts.push_end(&mut self.buf);
        }
    }

    fn poll_gone(&mut self, cx: &mut Context<'_>) -> bool {
        let gone = self.gone.get_mut().unwrap_or_else(PoisonError::into_inner);
        gone.poll_unpin(cx).is_ready()
    }
}

impl AsyncBufRead for TokenStream {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.at == this.buf.len() {
            this.at = 0;
            this.buf.clear();
            futures::ready!(this.poll_next(cx))?;
        }
        Poll::Ready(Ok(&this.buf[this.at..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.at += amount;
        if self.ended && self.at == self.buf.len() {
            self.run.complete();
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

/// Bytes followed by an error, which makes the server close the connection.
pub(super) struct CutBytes {
    bytes: Vec<u8>,
    at: usize,
}

impl CutBytes {
    /// The part of a whole answer that goes out before the cut.
    pub(super) fn new(texts: &Texts, cut: Cut) -> CutBytes {
        let mut bytes = texts.whole().into_bytes();
        bytes.truncate(texts.whole_cut(cut.after));
        CutBytes { bytes, at: 0 }
    }
}

impl AsyncRead for CutBytes {
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

impl AsyncBufRead for CutBytes {
    fn poll_fill_buf(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.at == this.bytes.len() {
            return Poll::Ready(Err(port::aborted()));
        }
        Poll::Ready(Ok(&this.bytes[this.at..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.at += amount;
    }
}
