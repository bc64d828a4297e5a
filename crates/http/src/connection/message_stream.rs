//! The stream that async-h1 reads from.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use async_std::io::Read;
use async_std::io::Write;

use super::Connection;

/// A stream that yields only the bytes of the current message.
#[derive(Clone)]
pub(crate) struct MessageStream(pub(crate) Arc<Connection>);

impl Read for MessageStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_read_message(cx, buf)
    }
}

/// Discards all writes.
///
/// async-h1 writes only the interim answer to `Expect: 100-continue` to the stream that it reads
/// from, and does so from a separate task. That task can run late, and the interim answer would be
/// written in the middle of the final one. The connection therefore writes the interim answer
/// itself before it reads the body.
impl Write for MessageStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
