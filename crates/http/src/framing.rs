//! Framing of message bodies.

use http_types::Headers;
use http_types::headers::CONTENT_LENGTH;
use http_types::headers::TRANSFER_ENCODING;

/// The most bytes of the connection between two pieces of a body in chunks: a piece of 8 KiB, and its framing with trailers
/// of 8 KiB.
pub(crate) const MAX_CHUNK_FRAMING_BYTES: u64 = 32 * 1024;

/// Bytes of the connection for each byte of a body in chunks of one byte.
const MAX_CHUNK_BYTES_A_BYTE: u64 = 6;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By `Content-Length`; zero for messages without a body.
    Length(u64),
    /// By the last chunk of the chunked encoding.
    Chunked,
    /// By the end of the connection.
    Close,
}

impl Framing {
    /// Label for logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Framing::Length(_) => "length",
            Framing::Chunked => "chunks",
            Framing::Close => "connection",
        }
    }

    /// The most bytes of the connection that belong to an answer's body. For one in chunks they are renewed by
    /// each piece of the body.
    pub(crate) fn max_answer_bytes(self) -> u64 {
        match self {
            Framing::Length(length) => length,
            Framing::Chunked => MAX_CHUNK_FRAMING_BYTES,
            Framing::Close => u64::MAX,
        }
    }

    /// The most bytes of the connection that belong to a request's body of at most `limit` bytes.
    pub(crate) fn max_request_bytes(self, limit: u64) -> u64 {
        match self {
            Framing::Length(length) => length,
            Framing::Chunked => limit
                .saturating_mul(MAX_CHUNK_BYTES_A_BYTE)
                .saturating_add(MAX_CHUNK_FRAMING_BYTES),
            Framing::Close => u64::MAX,
        }
    }
}

/// The framing headers contradict each other or name an unknown transfer coding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AmbiguousFraming;

/// Reads the framing from the headers; `None` if there are no framing headers.
///
/// This is stricter than async-h1, which takes the last of several lengths, accepts a sign, and
/// ignores unknown transfer codings. Two parties that disagree on where a body ends can be made to
/// read part of it as the next message (request smuggling).
pub(crate) fn framing(headers: &Headers) -> Result<Option<Framing>, AmbiguousFraming> {
    let lengths = headers.get(CONTENT_LENGTH);
    if let Some(codings) = headers.get(TRANSFER_ENCODING) {
        let mut values = codings.iter();
        let chunked = values
            .next()
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("chunked"));
        if lengths.is_some() || !chunked || values.next().is_some() {
            return Err(AmbiguousFraming);
        }
        return Ok(Some(Framing::Chunked));
    }
    let Some(lengths) = lengths else {
        return Ok(None);
    };
    let first = lengths.iter().next().map_or("", |value| value.as_str());
    let agree = lengths.iter().all(|value| value.as_str() == first);
    let digits = first.bytes().all(|byte| byte.is_ascii_digit());
    if !agree || !digits {
        return Err(AmbiguousFraming);
    }
    let length = first.parse().map_err(|_| AmbiguousFraming)?;
    Ok(Some(Framing::Length(length)))
}
