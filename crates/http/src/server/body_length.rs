//! Answer bodies that fail if they are shorter than announced.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_std::io::BufRead;
use async_std::io::Read;
use http_types::Body;
use http_types::Response;

use crate::headers::keep_content_type;

/// Makes the body of an answer fail if it ends before its announced length.
///
/// async-h1 writes a shorter body without an error and keeps the connection open. The caller would
/// then read the first bytes of the next answer as the rest of this one.
pub(crate) fn enforce_body_length(response: &mut Response) {
    let Some(length) = response.len().filter(|length| *length > 0) else {
        return;
    };
    keep_content_type(response, |response| {
        let body = response.take_body();
        let remaining = length as u64;
        response.set_body(Body::from_reader(
            LengthCheckedBody { body, remaining },
            Some(length),
        ));
    });
}

struct LengthCheckedBody {
    body: Body,
    remaining: u64,
}

impl Read for LengthCheckedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.body).poll_read(cx, buf))?;
        self.remaining = self.remaining.saturating_sub(count as u64);
        if count == 0 && self.remaining > 0 && !buf.is_empty() {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(count))
    }
}

/// Required by [`Body`], but unused: the encoder calls only `poll_read`.
impl BufRead for LengthCheckedBody {
    fn poll_fill_buf(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let _ = &mut self;
        Poll::Ready(Err(io::ErrorKind::Unsupported.into()))
    }

    fn consume(self: Pin<&mut Self>, _count: usize) {}
}
