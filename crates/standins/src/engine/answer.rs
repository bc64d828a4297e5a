//! Answers: the text, the stream of tokens, and bodies that end too early.

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
use serde_json::Value;

use super::core::Started;
use super::fault::Cut;
use super::progress::Outcome;
use super::request::Completion;
use super::request::Form;
use super::server::Engine;
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
                return Poll::Ready(Err(aborted()));
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

/// The text of one answer. Every token carries the request's marker, so that a test can tell whose
/// answer it reads.
pub(super) struct Texts {
    form: Form,
    id: String,
    model: String,
    marker: String,
    length: u32,
    prompt_tokens: u32,
    cached_tokens: u32,
}

impl Texts {
    pub(super) fn new(request: &Completion, started: &Started) -> Texts {
        Texts {
            form: request.form,
            id: format!("cmpl-{}", started.id.0),
            model: escape(&request.model),
            marker: escape(&request.marker),
            length: started.length,
            prompt_tokens: request.prompt_tokens(),
            cached_tokens: started.cached_tokens,
        }
    }

    /// One token as a server-sent event.
    pub(super) fn push_token(&self, token: u32, out: &mut Vec<u8>) {
        let Texts {
            id, model, marker, ..
        } = self;
        let event = match self.form {
            Form::Chat => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"created\":0,\
                 \"model\":\"{model}\",\"choices\":[{{\"index\":0,\
                 \"delta\":{{\"content\":\"{marker} {token} \"}},\"finish_reason\":null}}]}}\n\n"
            ),
            Form::Text => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"text_completion\",\"created\":0,\
                 \"model\":\"{model}\",\"choices\":[{{\"index\":0,\
                 \"text\":\"{marker} {token} \",\"finish_reason\":null}}]}}\n\n"
            ),
        };
        out.extend_from_slice(event.as_bytes());
    }

    /// The last two events: usage, and the end of the stream.
    pub(super) fn push_end(&self, out: &mut Vec<u8>) {
        let Texts { id, model, .. } = self;
        let (object, empty) = match self.form {
            Form::Chat => ("chat.completion.chunk", "\"delta\":{}"),
            Form::Text => ("text_completion", "\"text\":\"\""),
        };
        let usage = self.usage();
        let event = format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":0,\"model\":\"{model}\",\
             \"choices\":[{{\"index\":0,{empty},\"finish_reason\":\"stop\"}}],\
             \"usage\":{usage}}}\n\ndata: [DONE]\n\n"
        );
        out.extend_from_slice(event.as_bytes());
    }

    /// The whole answer as one JSON text.
    pub(super) fn whole(&self) -> String {
        let mut text = self.whole_head();
        for token in 0..self.length {
            text.push_str(&self.word(token));
        }
        let close = match self.form {
            Form::Chat => "\"}",
            Form::Text => "\"",
        };
        let usage = self.usage();
        text.push_str(close);
        text.push_str(&format!(
            ",\"finish_reason\":\"stop\"}}],\"usage\":{usage}}}"
        ));
        text
    }

    /// Bytes of the whole answer up to the end of its first `tokens` tokens.
    pub(super) fn whole_cut(&self, tokens: u32) -> usize {
        let words = (0..tokens.min(self.length)).map(|token| self.word(token).len());
        self.whole_head().len() + words.sum::<usize>()
    }

    fn whole_head(&self) -> String {
        let Texts { id, model, .. } = self;
        let (object, open) = match self.form {
            Form::Chat => (
                "chat.completion",
                "\"message\":{\"role\":\"assistant\",\"content\":\"",
            ),
            Form::Text => ("text_completion", "\"text\":\""),
        };
        format!(
            "{{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":0,\"model\":\"{model}\",\
             \"choices\":[{{\"index\":0,{open}"
        )
    }

    fn word(&self, token: u32) -> String {
        format!("{} {token} ", self.marker)
    }

    fn usage(&self) -> String {
        let Texts {
            length,
            prompt_tokens,
            cached_tokens,
            ..
        } = self;
        let total = prompt_tokens + length;
        format!(
            "{{\"prompt_tokens\":{prompt_tokens},\"completion_tokens\":{length},\
             \"total_tokens\":{total},\
             \"prompt_tokens_details\":{{\"cached_tokens\":{cached_tokens}}}}}"
        )
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
            return Poll::Ready(Err(aborted()));
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
            return Poll::Ready(Err(aborted()));
        }
        Poll::Pending
    }

    fn end(&mut self) {
        if self.ended {
            self.run.complete();
            return;
        }
        self.ended = true;
        self.texts.push_end(&mut self.buf);
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
            return Poll::Ready(Err(aborted()));
        }
        Poll::Ready(Ok(&this.bytes[this.at..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.at += amount;
    }
}

fn aborted() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionAborted)
}

fn escape(text: &str) -> String {
    let quoted = Value::from(text).to_string();
    quoted[1..quoted.len() - 1].to_owned()
}
