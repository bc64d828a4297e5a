//! Encoding of a request with its target as it was received.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_h1::client::Encoder;
use async_std::io::Read;
use http_types::Request;

use crate::request_target::RequestTarget;

/// Writes the request line itself, and the rest of the message with async-h1.
///
/// async-h1 writes the path and the query of the URL, which differ from the target that was received.
pub(super) struct RequestEncoder {
    encoder: Encoder,
    /// The bytes of the request line that are still to be written.
    line: Vec<u8>,
    /// Whether the request line of async-h1 is still to be skipped.
    skips: bool,
}

impl RequestEncoder {
    pub(super) fn new(request: Request) -> RequestEncoder {
        let target = RequestTarget::of(&request);
        let line = target.map(|target| {
            let method = request.method();
            format!("{method} {} HTTP/1.1\r\n", target.as_str())
        });
        RequestEncoder {
            skips: line.is_some(),
            line: line.unwrap_or_default().into_bytes(),
            encoder: Encoder::new(request),
        }
    }
}

impl Read for RequestEncoder {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = self.line.len().min(buf.len());
        if count > 0 {
            buf[..count].copy_from_slice(&self.line[..count]);
            self.line.drain(..count);
            return Poll::Ready(Ok(count));
        }
        loop {
            let count = ready!(Pin::new(&mut self.encoder).poll_read(cx, buf))?;
            if !self.skips || count == 0 {
                return Poll::Ready(Ok(count));
            }
            let Some(end) = buf[..count].iter().position(|byte| *byte == b'\n') else {
                continue;
            };
            self.skips = false;
            if end + 1 < count {
                buf.copy_within(end + 1..count, 0);
                return Poll::Ready(Ok(count - end - 1));
            }
        }
    }
}
