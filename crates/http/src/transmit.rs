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

use crate::connection::Connection;
use crate::overdue::Overdue;
use crate::server::WaitGuard;
use crate::stall::StallTimer;

#[cfg(test)]
mod tests;

/// Size of the write buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// The least free space in the buffer for a read, because async-h1's chunk encoder panics on tiny
/// buffers.
const MIN_READ_BYTES: usize = 2 * 1024;

quick_error! {
    /// Why a message wasn't written completely.
    // `quick_error!` doesn't support restricted visibility; the module is private.
    #[allow(unreachable_pub)]
    #[derive(Debug)]
    pub enum TransmitError {
        /// The source of the message failed.
        Source(cause: io::Error) {}
        /// The socket failed.
        Sink(cause: io::Error) {}
        /// The peer read nothing within the timeout.
        Stalled {}
        /// The peer hadn't read the message by its deadline, and its source hadn't come to its end.
        Overdue {}
    }
}

/// Copies an encoded message to a connection.
///
/// The bytes that the source has available are combined into one write. Before the source is waited
/// for, the buffered bytes are written, so no token is delayed.
pub(crate) struct Transmit<R> {
    source: R,
    connection: Arc<Connection>,
    buffer: Box<[u8]>,
    start: usize,
    end: usize,
    finished: bool,
    failure: Option<io::Error>,
    stall_timer: StallTimer,
    overdue: Option<Overdue>,
    /// The wait for the peer to read.
    wait: Option<WaitGuard>,
}

impl<R: Read + Unpin> Transmit<R> {
    pub(crate) fn new(source: R, connection: Arc<Connection>, timeout: Millis) -> Transmit<R> {
        Transmit {
            source,
            connection,
            buffer: vec![0; BUFFER_BYTES].into_boxed_slice(),
            start: 0,
            end: 0,
            finished: false,
            failure: None,
            stall_timer: StallTimer::new(timeout),
            overdue: None,
            wait: None,
        }
    }

    /// Sets the wait that counts while the peer doesn't read.
    pub(crate) fn count_wait(self, wait: WaitGuard) -> Transmit<R> {
        Transmit {
            wait: Some(wait),
            ..self
        }
    }

    /// Sets the deadline of the message.
    pub(crate) fn until(self, overdue: Option<Overdue>) -> Transmit<R> {
        Transmit { overdue, ..self }
    }

    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> bool {
        let is_whole = self.finished && self.failure.is_none();
        let overdue = self.overdue.as_mut().filter(|_| !is_whole);
        overdue.is_some_and(|overdue| overdue.poll_expired(cx))
    }

    /// Buffers bytes until the source is pending or at its end, or the buffer is full. Returns
    /// `true` if the source is pending.
    ///
    /// A failure of the source counts as its end and is reported after the bytes before it are
    /// written.
    fn poll_gather(&mut self, cx: &mut Context<'_>) -> bool {
        while !self.finished && self.buffer.len() - self.end >= MIN_READ_BYTES {
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
            match self
                .connection
                .poll_write(cx, &self.buffer[self.start..self.end])
            {
                Poll::Ready(Ok(count)) => {
                    self.start += count;
                    self.stall_timer.reset();
                    if let Some(wait) = &mut self.wait {
                        wait.record(count);
                    }
                }
                Poll::Ready(Err(error)) => return Poll::Ready(Err(TransmitError::Sink(error))),
                Poll::Pending if self.stall_timer.poll_expired(cx) => {
                    return Poll::Ready(Err(TransmitError::Stalled));
                }
                Poll::Pending if self.poll_overdue(cx) => {
                    return Poll::Ready(Err(TransmitError::Overdue));
                }
                Poll::Pending => {
                    if let Some(wait) = &mut self.wait {
                        wait.resume();
                    }
                    return Poll::Pending;
                }
            }
        }
        if let Some(wait) = &mut self.wait {
            wait.pause();
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
            // Buffered bytes are written first, so a caller that doesn't read slows its server down
            // (backpressure) instead of growing the memory.
            ready!(this.poll_drain(cx))?;
            let source_pending = this.poll_gather(cx);
            ready!(this.poll_drain(cx))?;
            if source_pending {
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
