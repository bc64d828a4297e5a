//! The body of an answer, relayed as it arrives.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_std::io::BufRead;
use async_std::io::Read;
use async_std::net::SocketAddr;
use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Millis;
use http_types::Body;

use super::arrivals::Arrivals;
use super::body_meter::BodyMeter;
use super::cancel::Cancel;
use super::limits::SendLimits;
use super::observer::AnswerEnd;
use super::observer::CutCause;
use super::observer::Observer;
use super::pool::Pool;
use crate::connection::Connection;
use crate::event_boundary::EventBoundary;
use crate::framing::Framing;
use crate::framing::MAX_CHUNK_FRAMING_BYTES;
use crate::stall::Sleep;
use crate::stall::StallTimer;

/// Size of the buffer behind [`BufRead`], in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// The pool that the connection returns to after a complete answer.
pub(crate) struct PoolReturn {
    pub(crate) pool: Arc<Pool>,
    pub(crate) server: SocketAddr,
}

/// Decides whether an answer that ended with its connection is complete. The mutex makes it `Sync`; it
/// is never locked.
type EndCheck = Mutex<Pin<Box<dyn Future<Output = bool> + Send>>>;

enum State {
    Open,
    /// The connection that delimits the answer has ended.
    Checking,
    Complete,
    Cut(CutCause),
}

/// The body of an answer.
///
/// Reading it fails if the answer ends before its announced length or its last chunk, if it ends with
/// its connection and nothing shows that it is complete, or if nothing arrives within the stall
/// timeout. Dropping it before its end closes the connection, which
/// cancels the request at the server.
pub struct RelayBody {
    body: Body,
    framing: Framing,
    clock: Clock,
    meter: BodyMeter,
    arrivals: Arrivals,
    state: State,
    /// `None` once the answer has ended.
    connection: Option<Arc<Connection>>,
    cancel: Cancel,
    pool_return: Option<PoolReturn>,
    stall_timer: StallTimer,
    /// Where a stream of events is, if it ends with its connection.
    boundary: Option<EventBoundary>,
    /// Whether the end of the connection shows nothing.
    distrusts_end: bool,
    end_check: Option<EndCheck>,
    /// Fires at the end of the total timeout.
    deadline: Option<Sleep>,
    observer: Option<Box<dyn Observer>>,
    buffer: Vec<u8>,
    start: usize,
}

impl RelayBody {
    pub(crate) fn new(
        body: Body,
        framing: Framing,
        connection: Arc<Connection>,
        pool_return: Option<PoolReturn>,
        limits: &SendLimits,
    ) -> RelayBody {
        let clock = Clock::start();
        let mut relay = RelayBody {
            body,
            framing,
            arrivals: Arrivals::new(clock.now()),
            clock,
            meter: BodyMeter::new(limits.answer_bytes, limits.event_bytes),
            state: State::Open,
            cancel: Cancel::new(connection.clone()),
            connection: Some(connection),
            pool_return,
            stall_timer: StallTimer::new(limits.stall_timeout),
            boundary: None,
            distrusts_end: false,
            end_check: None,
            deadline: None,
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
        self.meter.bytes()
    }

    /// The announced length, if there is one.
    pub fn length(&self) -> Option<u64> {
        match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::Close => None,
        }
    }

    /// What delimits the answer: its `length`, `chunks`, or the end of its `connection`.
    pub fn delimiter(&self) -> &'static str {
        self.framing.label()
    }

    /// Cuts the answer off if it isn't complete after `span`. Unlike the stall timeout, this also
    /// applies while bytes keep arriving; what is at hand by then is still read.
    pub fn set_total_timeout(&mut self, span: Millis) {
        self.meter.set_deadline(self.clock.now() + span);
        self.deadline = Some(Box::pin(task::sleep(span.into())));
    }

    /// Whether the end of the connection delimits the answer.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::Close
    }

    /// Sets how long the head of the answer was awaited.
    pub(crate) fn set_awaited(&mut self, span: Millis) {
        self.arrivals.set_awaited(span);
    }

    /// Takes the answer for a stream of server-sent events, each of which is bounded in bytes. If it ends
    /// with its connection, it is cut off unless it ends after an event and before the next one.
    pub fn expect_events(&mut self) {
        self.meter.expect_events();
        if self.ends_with_connection() {
            self.arrivals.count_wait();
            self.boundary = Some(EventBoundary::default());
        }
    }

    /// Sets what decides whether an answer that ended with its connection is complete. It is polled
    /// after the end of the connection, and the end of the answer is held back until then. Without
    /// it, no such answer is complete.
    pub fn set_end_check(&mut self, check: impl Future<Output = bool> + Send + 'static) {
        self.end_check = Some(Mutex::new(Box::pin(check)));
    }

    /// Takes no end of the connection for the end of the answer.
    ///
    /// A server that answered before the request was written may have given up on it. The rest of the
    /// request would show that by a reset, but isn't written.
    pub(crate) fn distrust_end(&mut self) {
        self.distrusts_end = true;
    }

    /// A handle that cancels this answer.
    pub fn cancel(&self) -> Cancel {
        self.cancel.clone()
    }

    /// Converts this into the body of the caller's answer, with the same framing. `observer`
    /// receives its chunks and its end.
    pub fn into_body(mut self, observer: impl Observer + 'static) -> Body {
        let mut observer = Box::new(observer);
        if let State::Complete = self.state {
            observer.end(AnswerEnd::Complete {
                bytes: self.bytes(),
            });
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
            State::Checking => return self.poll_end_check(cx).map_ok(|()| 0),
            State::Complete => return Poll::Ready(Ok(0)),
            State::Cut(cause) => return Poll::Ready(Err(cut_error(cause))),
        }
        if self.meter.is_turn_over() {
            self.meter.begin_turn();
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let poll = Pin::new(&mut self.body).poll_read(cx, buf);
        if poll.is_pending() {
            self.meter.begin_turn();
        }
        match poll {
            Poll::Ready(Ok(0)) => self.poll_finish(cx).map_ok(|()| 0),
            Poll::Ready(Ok(count)) => {
                let recorded = self.record_chunk(&buf[..count]);
                Poll::Ready(match recorded {
                    Ok(()) => Ok(count),
                    Err(cause) => Err(self.cut_off(cause)),
                })
            }
            Poll::Ready(Err(error)) => {
                let cause = cut_cause(&error);
                Poll::Ready(Err(self.cut_off(cause)))
            }
            Poll::Pending if self.stall_timer.poll_expired(cx) => {
                Poll::Ready(Err(self.cut_off(CutCause::Stalled)))
            }
            Poll::Pending if self.poll_deadline(cx) => {
                Poll::Ready(Err(self.cut_off(CutCause::Overdue)))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> bool {
        let deadline = self.deadline.as_mut();
        deadline.is_some_and(|deadline| deadline.as_mut().poll(cx).is_ready())
    }

    fn record_chunk(&mut self, bytes: &[u8]) -> Result<(), CutCause> {
        let now = self.clock.now();
        self.meter.record(bytes, now)?;
        self.arrivals.record(now);
        self.stall_timer.reset();
        if let (Framing::Chunked, Some(connection)) = (self.framing, &self.connection) {
            connection.set_remaining(MAX_CHUNK_FRAMING_BYTES);
        }
        if let Some(boundary) = &mut self.boundary {
            boundary.push(bytes);
        }
        if let Some(observer) = &mut self.observer {
            observer.chunk(bytes);
        }
        // A reader that knows the length doesn't read again to see the end, so completion is
        // detected here.
        if self.framing == Framing::Length(self.bytes()) {
            self.complete();
        }
        Ok(())
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.framing {
            Framing::Length(length) if length != self.bytes() => {
                Poll::Ready(Err(self.cut_off(CutCause::Short)))
            }
            Framing::Length(_) | Framing::Chunked => {
                self.complete();
                Poll::Ready(Ok(()))
            }
            Framing::Close if self.has_failed() => Poll::Ready(Err(self.cut_off(CutCause::Failed))),
            Framing::Close => {
                let between_events = EventBoundary::is_between_events;
                if !self.boundary.as_ref().is_none_or(between_events) {
                    return Poll::Ready(Err(self.cut_off(CutCause::InsideEvent)));
                }
                if self.distrusts_end {
                    return Poll::Ready(Err(self.cut_off(CutCause::Unproven)));
                }
                self.arrivals.record(self.clock.now());
                if self.arrivals.is_held_back() {
                    return Poll::Ready(Err(self.cut_off(CutCause::HeldBack)));
                }
                self.state = State::Checking;
                self.poll_end_check(cx)
            }
        }
    }

    fn has_failed(&self) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|connection| connection.has_failed())
    }

    fn poll_end_check(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let is_complete = match &mut self.end_check {
            None => Poll::Ready(false),
            Some(check) => {
                let check = check.get_mut().unwrap_or_else(PoisonError::into_inner);
                check.as_mut().poll(cx)
            }
        };
        match is_complete {
            // A reset may have followed the end.
            Poll::Ready(true) if self.has_failed() => {
                Poll::Ready(Err(self.cut_off(CutCause::Failed)))
            }
            Poll::Ready(true) => {
                self.complete();
                Poll::Ready(Ok(()))
            }
            Poll::Ready(false) => Poll::Ready(Err(self.cut_off(CutCause::Unproven))),
            Poll::Pending if self.poll_deadline(cx) => {
                Poll::Ready(Err(self.cut_off(CutCause::Overdue)))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn complete(&mut self) {
        self.state = State::Complete;
        // The body holds a reference to the connection, which is released here.
        self.body = Body::empty();
        // A later cancel would hit another request on the same connection.
        self.cancel.disarm();
        if let (Some(connection), Some(pool_return)) =
            (self.connection.take(), self.pool_return.take())
            && connection.is_idle()
        {
            pool_return.pool.put(pool_return.server, connection);
        }
        let bytes = self.bytes();
        self.notify_end(AnswerEnd::Complete { bytes });
    }

    fn cut_off(&mut self, cause: CutCause) -> io::Error {
        self.state = State::Cut(cause);
        self.close();
        let bytes = self.bytes();
        self.notify_end(AnswerEnd::Cut { bytes, cause });
        cut_error(cause)
    }

    fn close(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.shutdown();
        }
        // The socket closes with its last holder. Until then a server that sends on waits for room in the
        // receive buffer, and doesn't learn that its answer was cut off.
        self.body = Body::empty();
        self.cancel.disarm();
    }

    fn notify_end(&mut self, end: AnswerEnd) {
        if let Some(mut observer) = self.observer.take() {
            observer.end(end);
        }
    }
}

fn cut_cause(error: &io::Error) -> CutCause {
    match error.kind() {
        io::ErrorKind::UnexpectedEof => CutCause::Short,
        io::ErrorKind::InvalidData => CutCause::Malformed,
        _ => CutCause::Failed,
    }
}

fn cut_error(cause: CutCause) -> io::Error {
    match cause {
        CutCause::Short => io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "the answer ended before its announced end",
        ),
        CutCause::Stalled => io::Error::new(io::ErrorKind::TimedOut, "the answer stalled"),
        CutCause::Overdue => io::Error::new(
            io::ErrorKind::TimedOut,
            "the answer exceeded its total timeout",
        ),
        CutCause::Malformed => {
            io::Error::new(io::ErrorKind::InvalidData, "malformed chunked encoding")
        }
        CutCause::TooLarge => io::Error::new(
            io::ErrorKind::InvalidData,
            "the answer is longer than the limit",
        ),
        CutCause::Failed => io::Error::new(io::ErrorKind::ConnectionReset, "the connection failed"),
        CutCause::InsideEvent => io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "the connection ended inside an event",
        ),
        CutCause::HeldBack => io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "the connection ended just after a long silence, and the answer isn't known to be complete",
        ),
        CutCause::Unproven => io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "the connection ended, and the answer isn't known to be complete",
        ),
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        self.close();
        let bytes = self.bytes();
        self.notify_end(AnswerEnd::Dropped { bytes });
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
            .field("bytes", &self.bytes())
            .finish_non_exhaustive()
    }
}
