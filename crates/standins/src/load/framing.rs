//! HTTP/1.1 response framing: the head, and bodies delimited by chunks, length or close.

use std::fmt;

/// Maximum length of the head, and of a line of the framing, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// A response that isn't valid HTTP/1.1, or exceeds a size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedResponse;

impl fmt::Display for MalformedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed answer")
    }
}

impl std::error::Error for MalformedResponse {}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Head,
    Sized {
        remaining: u64,
    },
    ChunkSize,
    Chunk {
        remaining: u64,
    },
    ChunkEnd,
    Trailer,
    UntilClose,
    Complete,
}

/// The framing state of a response.
#[derive(Debug, Default)]
pub(super) struct Framing {
    state: State,
    line: Vec<u8>,
    head: String,
    status: u16,
}

impl Framing {
    /// Consumes bytes from the connection and appends those of the body to `out`. Returns the
    /// number of bytes that belong to this response.
    pub(super) fn feed(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<usize, MalformedResponse> {
        let mut rest = bytes;
        while !rest.is_empty() && self.state != State::Complete {
            let used = self.step(rest, out)?;
            rest = &rest[used..];
        }
        Ok(bytes.len() - rest.len())
    }

    pub(super) fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    pub(super) fn status(&self) -> u16 {
        self.status
    }

    pub(super) fn head(&self) -> &str {
        &self.head
    }

    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (found, value) = line.split_once(':')?;
            (found == name).then(|| value.trim())
        })
    }

    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, MalformedResponse> {
        match self.state {
            State::Head => self.head_line(bytes),
            State::ChunkSize => self.chunk_size(bytes),
            State::ChunkEnd | State::Trailer => self.blank_line(bytes),
            State::Sized { remaining } => {
                let used = take(bytes, remaining, out);
                let remaining = remaining - used as u64;
                self.state = if remaining == 0 {
                    State::Complete
                } else {
                    State::Sized { remaining }
                };
                Ok(used)
            }
            State::Chunk { remaining } => {
                let used = take(bytes, remaining, out);
                let remaining = remaining - used as u64;
                self.state = if remaining == 0 {
                    State::ChunkEnd
                } else {
                    State::Chunk { remaining }
                };
                Ok(used)
            }
            State::UntilClose => Ok(take(bytes, u64::MAX, out)),
            State::Complete => Ok(0),
        }
    }

    /// Collects a line into `self.line`. Returns the number of bytes used and whether the line is
    /// complete.
    fn collect_line(&mut self, bytes: &[u8]) -> Result<(usize, bool), MalformedResponse> {
        let end = bytes.iter().position(|&b| b == b'\n');
        let used = end.map_or(bytes.len(), |at| at + 1);
        self.line.extend_from_slice(&bytes[..used]);
        if self.line.len() > MAX_LINE_BYTES {
            return Err(MalformedResponse);
        }
        Ok((used, end.is_some()))
    }

    fn head_line(&mut self, bytes: &[u8]) -> Result<usize, MalformedResponse> {
        let (used, complete) = self.collect_line(bytes)?;
        if !complete {
            return Ok(used);
        }
        let line = std::mem::take(&mut self.line);
        let text = std::str::from_utf8(&line).map_err(|_| MalformedResponse)?;
        let text = text.trim_end();
        if !text.is_empty() {
            self.head.push_str(&text.to_ascii_lowercase());
            self.head.push('\n');
            return if self.head.len() > MAX_LINE_BYTES {
                Err(MalformedResponse)
            } else {
                Ok(used)
            };
        }
        self.end_head()?;
        Ok(used)
    }

    fn end_head(&mut self) -> Result<(), MalformedResponse> {
        let status = self.head.split(' ').nth(1).and_then(|word| word.get(..3));
        let status: u16 = status
            .and_then(|s| s.parse().ok())
            .ok_or(MalformedResponse)?;
        if status == 100 {
            self.head.clear();
            return Ok(());
        }
        self.status = status;
        let chunked = self.header("transfer-encoding") == Some("chunked");
        let length = self.header("content-length").map(str::parse::<u64>);
        self.state = match length {
            _ if chunked => State::ChunkSize,
            Some(Ok(0)) => State::Complete,
            Some(Ok(remaining)) => State::Sized { remaining },
            Some(Err(_)) => return Err(MalformedResponse),
            None if status == 204 => State::Complete,
            None => State::UntilClose,
        };
        Ok(())
    }

    fn chunk_size(&mut self, bytes: &[u8]) -> Result<usize, MalformedResponse> {
        let (used, complete) = self.collect_line(bytes)?;
        if !complete {
            return Ok(used);
        }
        let text = std::str::from_utf8(&self.line).map_err(|_| MalformedResponse)?;
        let digits = text.split(';').next().unwrap_or("").trim();
        let remaining = u64::from_str_radix(digits, 16).map_err(|_| MalformedResponse)?;
        self.line.clear();
        self.state = if remaining == 0 {
            State::Trailer
        } else {
            State::Chunk { remaining }
        };
        Ok(used)
    }

    fn blank_line(&mut self, bytes: &[u8]) -> Result<usize, MalformedResponse> {
        let (used, complete) = self.collect_line(bytes)?;
        if !complete {
            return Ok(used);
        }
        let blank = self.line.iter().all(u8::is_ascii_whitespace);
        self.line.clear();
        match (self.state, blank) {
            (State::Trailer, true) => self.state = State::Complete,
            (State::Trailer, false) => {}
            (_, true) => self.state = State::ChunkSize,
            (_, false) => return Err(MalformedResponse),
        }
        Ok(used)
    }
}

fn take(bytes: &[u8], remaining: u64, out: &mut Vec<u8>) -> usize {
    let used = bytes
        .len()
        .min(usize::try_from(remaining).unwrap_or(usize::MAX));
    out.extend_from_slice(&bytes[..used]);
    used
}
