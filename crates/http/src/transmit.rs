//! Writing a message to the socket as it is produced.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_std::io::Read;
use crocushold_base::Millis;
use quick_error::quick_error;

use crate::stall::StallTimer;
use crate::wire::Wire;

/// Bytes that are gathered before a write.
const BUFFER_BYTES: usize = 16 * 1024;

/// Room that a read must find in the buffer; async-h1's chunk encoder panics on tiny buffers.
const READ_BYTES: usize = 2 * 1024;

quick_error! {
    /// Why a message wasn't written whole.
    // The macro knows no restricted visibility; the module is private.
    #[allow(unreachable_pub)]
    #[derive(Debug)]
    pub enum TransmitError {
        /// The source of the message failed.
        Source(cause: io::Error) {}
        /// The socket failed.
        Sink(cause: io::Error) {}
        /// The peer took nothing for too long.
        Stalled {}
    }
}

/// Copies an encoded message to a wire.
///
/// What the source has at hand goes out in one write, and each read that would wait is preceded by
/// a write of what was gathered, so no token is held back.
pub(crate) struct Transmit<R> {
    source: R,
    wire: Arc<Wire>,
    buffer: Box<[u8]>,
    start: usize,
    end: usize,
    finished: bool,
    failure: Option<io::Error>,
    stall: StallTimer,
}

impl<R: Read + Unpin> Transmit<R> {
    pub(crate) fn new(source: R, wire: Arc<Wire>, timeout: Millis) -> Transmit<R> {
        Transmit {
            source,
            wire,
            buffer: vec![0; BUFFER_BYTES].into_boxed_slice(),
            start: 0,
            end: 0,
            finished: false,
            failure: None,
            stall: StallTimer::new(timeout),
        }
    }

    /// Gathers bytes until the source would wait, ends, or the buffer is full; `true` when the
    /// source would wait.
    ///
    /// A failure ends it too; it is reported after what came before it was written.
    fn poll_gather(&mut self, cx: &mut Context<'_>) -> bool {
        while !self.finished && self.buffer.len() - self.end >= READ_BYTES {
            match Pin::new(&mut self.source).poll_read(cx, &mut self.buffer[self.end..]) {
                Poll::Pending => return true,
                Poll::Ready(Ok(0)) => self.finished = true,
                Poll::Ready(Ok(count)) => self.end += count,
                Poll::Ready(Err(error)) => {
                    self.failure = Some(error);
                    self.finished = true;
                }
            }
        }
        false
    }

    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), TransmitError>> {
        while self.start < self.end {
            match self.wire.poll_write(cx, &self.buffer[self.start..self.end]) {
                Poll::Ready(Ok(count)) => {
                    self.start += count;
                    self.stall.touch();
                }
                Poll::Ready(Err(error)) => return Poll::Ready(Err(TransmitError::Sink(error))),
                Poll::Pending if self.stall.poll_expired(cx) => {
                    return Poll::Ready(Err(TransmitError::Stalled));
                }
                Poll::Pending => return Poll::Pending,
            }
        }
        self.start = 0;
        self.end = 0;
        Poll::Ready(Ok(()))
    }
}

impl<R: Read + Unpin> Future for Transmit<R> {
    type Output = Result<(), TransmitError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = &mut *self;
        loop {
            // What a write left over goes first, so a caller that doesn't read holds its server back
            // instead of filling the memory.
            ready!(this.poll_drain(cx))?;
            let waits = this.poll_gather(cx);
            ready!(this.poll_drain(cx))?;
            if waits {
                return Poll::Pending;
            }
            if this.finished {
                return Poll::Ready(match this.failure.take() {
                    Some(error) => Err(TransmitError::Source(error)),
                    None => Ok(()),
                });
            }
        }
    }
}
