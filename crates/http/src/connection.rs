//! The socket wrapper shared by client and server.

mod chunks;
mod head;
mod message_stream;
mod read_buffer;

use std::io;
use std::ops::Range;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_std::io::BufReader;
use async_std::io::Read;
use async_std::io::Write;
use async_std::net::Shutdown;
use async_std::net::TcpStream;
use futures::FutureExt;
use futures::future::poll_fn;
use http_types::Body;
use socket2::SockRef;

use crate::framing::Framing;
use chunks::ChunkDecoder;
use chunks::MalformedChunks;
use head::head_end;
use read_buffer::ReadBuffer;

pub(crate) use head::HeadError;
pub(crate) use head::LINE_END;
pub(crate) use head::has_header;
pub(crate) use message_stream::MessageStream;

/// Bytes read from the socket at a time while a head is read.
const READ_CHUNK_BYTES: usize = 4096;

/// The most bytes that are buffered while waiting for a disconnect; a disconnect behind more bytes
/// isn't detected.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// The most bytes of blank lines before a message. They are no part of it, so that no other limit counts them.
const MAX_BLANK_BYTES: usize = 1024;

/// Bytes of the framing of chunks that are decoded before the task yields.
const MAX_FRAMING_TURN: usize = 4096;

/// The interim answer to `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A TCP connection with a read buffer.
///
/// async-h1 wraps its reader in a buffer of its own and drops that buffer with the message. Bytes
/// of the next message in it would be lost, and their sender would wait forever. A head is
/// therefore read here first, and a [`MessageStream`] yields only the bytes of the current message.
/// async-h1 gets heads alone: where a body ends is decided here.
pub(crate) struct Connection {
    stream: TcpStream,
    read_buffer: Mutex<ReadBuffer>,
    written: AtomicU64,
    failed: AtomicBool,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Arc<Connection> {
        Arc::new(Connection {
            stream,
            read_buffer: Mutex::default(),
            written: AtomicU64::new(0),
            failed: AtomicBool::new(false),
        })
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// The number of bytes written to the socket so far. No further bytes can have been sent.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Whether the socket has failed. It reports an error once, and a later read finds the end of the
    /// stream as after a proper close; a reset after the peer's proper close is reported to no read.
    pub(crate) fn has_failed(&self) -> bool {
        let pending = SockRef::from(&self.stream).take_error();
        if !matches!(pending, Ok(None)) {
            self.failed.store(true, Ordering::Relaxed);
        }
        self.failed.load(Ordering::Relaxed)
    }

    /// Records an error of the socket.
    fn note_failure<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if result.is_err() {
            self.failed.store(true, Ordering::Relaxed);
        }
        result
    }

    fn read_buffer(&self) -> MutexGuard<'_, ReadBuffer> {
        match self.read_buffer.lock() {
            Ok(read_buffer) => read_buffer,
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    /// Shuts the connection down in both directions, for all of its holders.
    pub(crate) fn shutdown(&self) {
        // Fails only if the socket is already closed.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Waits for the first byte of a message; `false` if the peer closed the connection instead, or sent too many
    /// blank lines.
    pub(crate) async fn first_byte(&self) -> io::Result<bool> {
        let mut blank_bytes = 0;
        loop {
            {
                let mut read_buffer = self.read_buffer();
                blank_bytes += read_buffer.skip_blank_lines();
                if blank_bytes > MAX_BLANK_BYTES {
                    return Ok(false);
                }
                // A blank line may come in two segments.
                if !matches!(read_buffer.unread(), b"" | b"\r") {
                    return Ok(true);
                }
                if read_buffer.eof {
                    return Ok(false);
                }
            }
            poll_fn(|cx| self.poll_fill(cx)).await?;
        }
    }

    /// Reads up to the end of a head, checks its lines and returns its length; the head stays in the read buffer.
    pub(crate) async fn read_head(&self, limit: usize) -> Result<usize, HeadError> {
        let mut scanned = 0;
        loop {
            {
                let read_buffer = self.read_buffer();
                let unread = read_buffer.unread();
                if let Some(length) = head_end(unread, scanned)? {
                    if length > limit {
                        return Err(HeadError::TooLarge);
                    }
                    return Ok(length);
                }
                if unread.len() >= limit {
                    return Err(HeadError::TooLarge);
                }
                if read_buffer.eof {
                    return Err(HeadError::Closed);
                }
                scanned = unread.len();
            }
            poll_fn(|cx| self.poll_fill(cx)).await?;
        }
    }

    /// Calls `view` with the head of `length` bytes, which it may change before the head is parsed.
    pub(crate) fn with_head<T>(&self, length: usize, view: impl FnOnce(&mut [u8]) -> T) -> T {
        let mut read_buffer = self.read_buffer();
        let start = read_buffer.start;
        view(&mut read_buffer.bytes[start..start + length])
    }

    /// Replaces a range of the head by `bytes`.
    pub(crate) fn replace_head(&self, range: Range<usize>, bytes: &[u8]) {
        let mut read_buffer = self.read_buffer();
        let start = read_buffer.start;
        let range = start + range.start..start + range.end;
        read_buffer.bytes.splice(range, bytes.iter().copied());
    }

    /// Lets [`MessageStream`] yield a head of `length` bytes.
    pub(crate) fn begin_head(&self, length: usize) {
        let mut read_buffer = self.read_buffer();
        read_buffer.remaining = length as u64;
        read_buffer.chunks = None;
    }

    /// The body that follows the head. Its data and its framing take at most `limit` bytes of the connection.
    pub(crate) fn begin_body(self: &Arc<Connection>, framing: Framing, limit: u64) -> Body {
        let mut read_buffer = self.read_buffer();
        read_buffer.remaining = limit;
        read_buffer.chunks = (framing == Framing::Chunked).then(ChunkDecoder::default);
        drop(read_buffer);
        let length = match framing {
            Framing::Length(0) => return Body::empty(),
            Framing::Length(length) => usize::try_from(length).ok(),
            Framing::Chunked | Framing::Close => None,
        };
        Body::from_reader(BufReader::new(MessageStream(self.clone())), length)
    }

    /// Sets the number of bytes of the connection that [`MessageStream`] may still read.
    pub(crate) fn set_remaining(&self, count: u64) {
        self.read_buffer().remaining = count;
    }

    /// The number of bytes of the connection that [`MessageStream`] may still read.
    pub(crate) fn remaining(&self) -> u64 {
        self.read_buffer().remaining
    }

    /// Writes the interim answer before the first read of the body.
    pub(crate) fn expect_continue(&self) {
        self.read_buffer().interim = CONTINUE;
    }

    /// Whether the read buffer holds unread bytes.
    pub(crate) fn has_unread(&self) -> bool {
        !self.read_buffer().unread().is_empty()
    }

    /// Whether the connection is open and has no unread bytes, so that it can carry another
    /// request.
    pub(crate) fn is_idle(&self) -> bool {
        {
            let read_buffer = self.read_buffer();
            if read_buffer.eof || !read_buffer.unread().is_empty() {
                return false;
            }
        }
        let mut byte = [0];
        self.stream.peek(&mut byte).now_or_never().is_none()
    }

    /// Resolves once the peer has closed its side.
    ///
    /// Bytes that arrive before that are buffered for the next message, because the end of the
    /// stream is visible only after them.
    pub(crate) async fn closed(&self) {
        let mut byte = [0];
        loop {
            if self.read_buffer().eof {
                return;
            }
            // Each peek registers its own waker, so several tasks can wait here while another one
            // reads.
            match self.note_failure(self.stream.peek(&mut byte).await) {
                Ok(0) | Err(_) => {
                    self.read_buffer().eof = true;
                    return;
                }
                Ok(_) => {}
            }
            if self.read_buffer().unread().len() >= MAX_READ_AHEAD_BYTES {
                futures::future::pending::<()>().await;
            }
            // The peek found bytes, so this isn't pending unless another task has read them.
            let _ = poll_fn(|cx| self.poll_fill(cx)).now_or_never();
        }
    }

    /// Reads and discards bytes until the peer closes the connection or `limit` bytes have arrived.
    pub(crate) async fn discard(&self, limit: usize) -> io::Result<()> {
        let mut count = 0;
        while count < limit {
            count += poll_fn(|cx| self.poll_fill(cx)).await?;
            let mut read_buffer = self.read_buffer();
            let unread = read_buffer.unread().len();
            read_buffer.consume(unread);
            if read_buffer.eof {
                break;
            }
        }
        Ok(())
    }

    /// Appends the bytes available on the socket to the read buffer.
    fn poll_fill(&self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut read_buffer = self.read_buffer();
        let mut chunk = [0; READ_CHUNK_BYTES];
        let read = ready!(Pin::new(&mut &self.stream).poll_read(cx, &mut chunk));
        let count = self.note_failure(read)?;
        if count == 0 {
            read_buffer.eof = true;
        }
        read_buffer.append(&chunk[..count]);
        Poll::Ready(Ok(count))
    }

    /// Reads a head, or the data of a body.
    fn poll_read_message(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut read_buffer = self.read_buffer();
        let Some(mut chunks) = read_buffer.chunks else {
            return self.poll_read_bytes(&mut read_buffer, cx, buf);
        };
        // Other tasks get their turn beside a peer that sends chunks of a byte without a pause.
        if read_buffer.framing_bytes >= MAX_FRAMING_TURN {
            read_buffer.framing_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        // Reads that bring framing alone are few, as the decoder bounds its length.
        while !chunks.is_ended() && !buf.is_empty() {
            if read_buffer.remaining == 0 {
                return Poll::Ready(Err(MalformedChunks.into()));
            }
            let count = ready!(self.poll_read_bytes(&mut read_buffer, cx, buf))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            let decoded = chunks.decode(&mut buf[..count])?;
            read_buffer.chunks = Some(chunks);
            read_buffer.framing_bytes += decoded.used - decoded.data;
            read_buffer.put_back(&buf[decoded.used..count]);
            if decoded.data > 0 {
                return Poll::Ready(Ok(decoded.data));
            }
        }
        Poll::Ready(Ok(0))
    }

    /// Reads bytes of the current message, first from the buffer and then from the socket.
    fn poll_read_bytes(
        &self,
        read_buffer: &mut ReadBuffer,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let limit = buf
            .len()
            .min(usize::try_from(read_buffer.remaining).unwrap_or(usize::MAX));
        if limit == 0 {
            return Poll::Ready(Ok(0));
        }
        let count = read_buffer.unread().len().min(limit);
        if count > 0 {
            buf[..count].copy_from_slice(&read_buffer.unread()[..count]);
            read_buffer.consume(count);
            read_buffer.remaining -= count as u64;
            return Poll::Ready(Ok(count));
        }
        if read_buffer.eof {
            return Poll::Ready(Ok(0));
        }
        while !read_buffer.interim.is_empty() {
            let written = ready!(self.poll_write(cx, read_buffer.interim))?;
            read_buffer.interim = &read_buffer.interim[written..];
        }
        let read = ready!(Pin::new(&mut &self.stream).poll_read(cx, &mut buf[..limit]));
        let count = self.note_failure(read)?;
        read_buffer.eof = count == 0;
        read_buffer.remaining -= count as u64;
        Poll::Ready(Ok(count))
    }

    pub(crate) fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut &self.stream).poll_write(cx, buf));
        let count = self.note_failure(written)?;
        self.written.fetch_add(count as u64, Ordering::Relaxed);
        if count == 0 && !buf.is_empty() {
            return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
        }
        Poll::Ready(Ok(count))
    }
}
