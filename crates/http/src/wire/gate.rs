//! The stream that async-h1 sees.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use async_std::io::Read;
use async_std::io::Write;

use super::Wire;

/// What async-h1 reads from: the bytes of the message at hand.
#[derive(Clone)]
pub(crate) struct Gate(pub(crate) Arc<Wire>);

impl Read for Gate {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_take(cx, buf)
    }
}

/// async-h1 writes one thing through the stream that it reads from: the interim answer to
/// `Expect: 100-continue`, from a task of its own. That task can run late, and the interim answer
/// would land inside the final one. So its writes are dropped, and the wire writes the interim
/// answer itself before it reads the body.
impl Write for Gate {
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
