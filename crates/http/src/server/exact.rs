//! Bodies that fail where they end short.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_std::io::BufRead;
use async_std::io::Read;
use http_types::Body;
use http_types::Response;

/// Makes the body of an answer fail when it ends before its announced length.
///
/// async-h1 writes the fewer bytes and keeps the connection. The next answer's bytes would then
/// complete this one, and the caller would read two answers as one.
pub(crate) fn exact(response: &mut Response) {
    let Some(length) = response.len().filter(|length| *length > 0) else {
        return;
    };
    let body = response.take_body();
    let rest = length as u64;
    response.set_body(Body::from_reader(ExactBody { body, rest }, Some(length)));
}

struct ExactBody {
    body: Body,
    rest: u64,
}

impl Read for ExactBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.body).poll_read(cx, buf))?;
        self.rest = self.rest.saturating_sub(count as u64);
        if count == 0 && self.rest > 0 && !buf.is_empty() {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(count))
    }
}

/// Required by [`Body`]; the encoder only reads.
impl BufRead for ExactBody {
    fn poll_fill_buf(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let _ = &mut self;
        Poll::Ready(Err(io::ErrorKind::Unsupported.into()))
    }

    fn consume(self: Pin<&mut Self>, _count: usize) {}
}
