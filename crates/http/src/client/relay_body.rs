//! The body of an answer, passed on as it arrives.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_std::io::BufRead;
use async_std::io::Read;
use async_std::net::SocketAddr;
use async_std::task;
use crocushold_base::Millis;
use http_types::Body;

use super::cancel::Cancel;
use super::observer::AnswerEnd;
use super::observer::CutCause;
use super::observer::Observer;
use super::pool::Pool;
use crate::framing::Framing;
use crate::stall::Sleep;
use crate::stall::StallTimer;
use crate::wire::Wire;

/// Bytes read at a time by those who use [`BufRead`].
const BUFFER_BYTES: usize = 8 * 1024;

/// Where the connection goes after a clean end.
pub(crate) struct Home {
    pub(crate) pool: Arc<Pool>,
    pub(crate) server: SocketAddr,
}

enum State {
    Open,
    Complete,
    Cut(CutCause),
}

/// The body of an answer.
///
/// Reading it yields an error where the answer ends before its announced length or its last chunk,
/// and where nothing comes for the stall timeout. Dropping it early cuts the connection, which
/// cancels the request at the server.
pub struct RelayBody {
    body: Body,
    framing: Framing,
    bytes: u64,
    state: State,
    /// Gone once the answer ended.
    wire: Option<Arc<Wire>>,
    cancel: Cancel,
    home: Option<Home>,
    stall: StallTimer,
    /// Fires when the whole answer is overdue.
    expiry: Option<Sleep>,
    observer: Option<Box<dyn Observer>>,
    buffer: Vec<u8>,
    start: usize,
}

impl RelayBody {
    pub(crate) fn new(
        body: Body,
        framing: Framing,
        wire: Arc<Wire>,
        home: Option<Home>,
        stall: Millis,
    ) -> RelayBody {
        let mut relay = RelayBody {
            body,
            framing,
            bytes: 0,
            state: State::Open,
            cancel: Cancel::new(wire.clone()),
            wire: Some(wire),
            home,
            stall: StallTimer::new(stall),
            expiry: None,
            observer: None,
            buffer: Vec::new(),
            start: 0,
        };
        if framing == Framing::Length(0) {
            relay.complete();
        }
        relay
    }

    /// Bytes read so far.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The announced length, if there is one.
    pub fn length(&self) -> Option<u64> {
        match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::Close => None,
        }
    }

    /// Cuts the answer where it isn't whole after `span`; unlike the stall timeout, also while it
    /// goes on.
    pub fn set_total_timeout(&mut self, span: Millis) {
        self.expiry = Some(Box::pin(task::sleep(span.into())));
    }

    /// A handle that cuts this answer off.
    pub fn cancel(&self) -> Cancel {
        self.cancel.clone()
    }

    /// Makes a body for the caller's answer, with the same length or chunks, watched by `observer`.
    pub fn into_body(mut self, observer: impl Observer + 'static) -> Body {
        let mut observer = Box::new(observer);
        if let State::Complete = self.state {
            observer.end(AnswerEnd::Complete { bytes: self.bytes });
        } else {
            self.observer = Some(observer);
        }
        let length = self
            .length()
            .and_then(|length| usize::try_from(length).ok());
        Body::from_reader(self, length)
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        match self.state {
            State::Open => {}
            State::Complete => return Poll::Ready(Ok(0)),
            State::Cut(cause) => return Poll::Ready(Err(cut_error(cause))),
        }
        match self.poll_body(cx, buf) {
            Poll::Ready(Ok(0)) => Poll::Ready(self.ended().map(|()| 0)),
            Poll::Ready(Ok(count)) => {
                self.passed(&buf[..count]);
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(self.cut(cause_of(&error)))),
            Poll::Pending if self.stall.poll_expired(cx) => {
                Poll::Ready(Err(self.cut(CutCause::Stalled)))
            }
            Poll::Pending if self.poll_overdue(cx) => Poll::Ready(Err(self.cut(CutCause::Overdue))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> bool {
        let expiry = self.expiry.as_mut();
        expiry.is_some_and(|expiry| expiry.as_mut().poll(cx).is_ready())
    }

    /// Polls async-h1's body.
    ///
    /// Its chunk decoder returns "pending" without a waker when the last line of a body arrives in
    /// two pieces, so the answer would hang a byte before its end. Where the socket itself had
    /// something, "pending" isn't true, and the decoder is asked again.
    fn poll_body(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            if let Some(wire) = &self.wire {
                wire.clear_waiting();
            }
            let poll = Pin::new(&mut self.body).poll_read(cx, buf);
            let waits = self.wire.as_ref().is_none_or(|wire| wire.is_waiting());
            if poll.is_ready() || waits {
                return poll;
            }
        }
    }

    fn passed(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len() as u64;
        self.stall.touch();
        if let Some(observer) = &mut self.observer {
            observer.chunk(bytes);
        }
        // A reader that knows the length doesn't ask for the end, so it is noted here.
        if self.framing == Framing::Length(self.bytes) {
            self.complete();
        }
    }

    fn ended(&mut self) -> io::Result<()> {
        match self.framing {
            Framing::Length(length) if length != self.bytes => Err(self.cut(CutCause::Short)),
            _ => {
                self.complete();
                Ok(())
            }
        }
    }

    fn complete(&mut self) {
        self.state = State::Complete;
        // async-h1's reader holds the connection as well.
        self.body = Body::empty();
        // From here on a cancel would hit another request on the same connection.
        self.cancel.disarm();
        if let (Some(wire), Some(home)) = (self.wire.take(), self.home.take())
            && wire.is_idle()
        {
            home.pool.give(home.server, wire);
        }
        let bytes = self.bytes;
        self.tell(AnswerEnd::Complete { bytes });
    }

    fn cut(&mut self, cause: CutCause) -> io::Error {
        self.state = State::Cut(cause);
        self.close();
        let bytes = self.bytes;
        self.tell(AnswerEnd::Cut { bytes, cause });
        cut_error(cause)
    }

    fn close(&mut self) {
        if let Some(wire) = self.wire.take() {
            wire.cut();
        }
    }

    fn tell(&mut self, end: AnswerEnd) {
        if let Some(mut observer) = self.observer.take() {
            observer.end(end);
        }
    }
}

fn cause_of(error: &io::Error) -> CutCause {
    match error.kind() {
        io::ErrorKind::UnexpectedEof => CutCause::Short,
        io::ErrorKind::InvalidData => CutCause::Malformed,
        _ => CutCause::Failed,
    }
}

fn cut_error(cause: CutCause) -> io::Error {
    match cause {
        CutCause::Short => io::Error::new(io::ErrorKind::UnexpectedEof, "the answer ended short"),
        CutCause::Stalled => io::Error::new(io::ErrorKind::TimedOut, "the answer stalled"),
        CutCause::Overdue => io::Error::new(io::ErrorKind::TimedOut, "the answer is overdue"),
        CutCause::Malformed => io::Error::new(io::ErrorKind::InvalidData, "malformed chunks"),
        CutCause::Failed => io::Error::new(io::ErrorKind::ConnectionReset, "the connection failed"),
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        self.close();
        let bytes = self.bytes;
        self.tell(AnswerEnd::Dropped { bytes });
    }
}

impl Read for RelayBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.start < this.buffer.len() {
            let rest = &this.buffer[this.start..];
            let count = rest.len().min(buf.len());
            buf[..count].copy_from_slice(&rest[..count]);
            this.start += count;
            return Poll::Ready(Ok(count));
        }
        if buf.is_empty() {
            return Poll::Ready(Ok(0));
        }
        this.poll_chunk(cx, buf)
    }
}

impl BufRead for RelayBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.start >= this.buffer.len() {
            let mut buffer = std::mem::take(&mut this.buffer);
            buffer.resize(BUFFER_BYTES, 0);
            let poll = this.poll_chunk(cx, &mut buffer);
            this.start = 0;
            buffer.truncate(match &poll {
                Poll::Ready(Ok(count)) => *count,
                _ => 0,
            });
            this.buffer = buffer;
            ready!(poll)?;
        }
        Poll::Ready(Ok(&this.buffer[this.start..]))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.start += count;
    }
}

impl fmt::Debug for RelayBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayBody")
            .field("framing", &self.framing)
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}
