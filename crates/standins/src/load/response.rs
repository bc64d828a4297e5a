//! Reading an answer as it arrives, cheaply: framing, and the events of a stream.

use std::fmt;

/// Longest head, and longest line of a stream.
const MAX_LINE: usize = 64 * 1024;

/// Longest body that is kept whole.
const MAX_KEPT: usize = 4 * 1024 * 1024;

/// An answer that isn't HTTP/1.1 as we know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed answer")
    }
}

impl std::error::Error for Malformed {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    Sized { left: u64 },
    ChunkSize,
    Chunk { left: u64 },
    ChunkEnd,
    Trailer,
    UntilClose,
    Whole,
}

/// An answer that is being read.
#[derive(Debug)]
pub struct Response {
    state: State,
    line: Vec<u8>,
    head: String,
    status: u16,
    stream: bool,
    body: Vec<u8>,
    scanned: usize,
    tokens: u64,
    done: bool,
    foreign: bool,
    disordered: bool,
    needle: Vec<u8>,
}

impl Response {
    /// Begins to read the answer to the request with this marker; `stream` when events are expected.
    pub fn new(marker: &str, stream: bool) -> Response {
        Response {
            state: State::Head,
            line: Vec::new(),
            head: String::new(),
            status: 0,
            stream,
            body: Vec::new(),
            scanned: 0,
            tokens: 0,
            done: false,
            foreign: false,
            disordered: false,
            needle: format!("{marker} ").into_bytes(),
        }
    }

    /// Takes the next bytes from the connection; how many of them belong to this answer.
    ///
    /// # Errors
    ///
    /// Fails when the bytes aren't an answer.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        let mut rest = bytes;
        while !rest.is_empty() && self.state != State::Whole {
            let used = self.step(rest)?;
            rest = &rest[used..];
        }
        Ok(bytes.len() - rest.len())
    }

    /// Whether the framing says that the answer is whole. A body that ends where the connection
    /// closes never says so.
    pub fn is_whole(&self) -> bool {
        self.state == State::Whole
    }

    /// Whether the body ends where the connection closes.
    pub fn until_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Whether the head has arrived.
    pub fn has_head(&self) -> bool {
        self.status != 0
    }

    /// The status; 0 before the head has arrived.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// The head, in lower case.
    pub fn head(&self) -> &str {
        &self.head
    }

    /// The body, as far as it isn't a stream.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Tokens that arrived.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Whether the answer is read as a stream of events.
    pub fn is_stream(&self) -> bool {
        self.stream
    }

    /// Whether the stream said `[DONE]`.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Whether a token carried another request's marker.
    pub fn is_foreign(&self) -> bool {
        self.foreign
    }

    /// Whether a token was missing, repeated or out of its place.
    pub fn is_disordered(&self) -> bool {
        self.disordered
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (found, value) = line.split_once(':')?;
            (found == name).then(|| value.trim())
        })
    }

    /// Checks the tokens of a whole (not streamed) answer.
    pub fn check_whole(&mut self) {
        let body = std::mem::take(&mut self.body);
        let Some(text) = content(&body) else {
            self.disordered = true;
            return;
        };
        let mut rest = text;
        while !rest.is_empty() && rest[0] != b'"' {
            rest = self.token(rest);
        }
        self.body = body;
    }

    fn step(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        match self.state {
            State::Head => self.head_line(bytes),
            State::ChunkSize => self.chunk_size(bytes),
            State::ChunkEnd | State::Trailer => self.blank_line(bytes),
            State::Sized { left } => {
                let used = self.take(bytes, left);
                let left = left - used as u64;
                self.state = if left == 0 {
                    State::Whole
                } else {
                    State::Sized { left }
                };
                Ok(used)
            }
            State::Chunk { left } => {
                let used = self.take(bytes, left);
                let left = left - used as u64;
                self.state = if left == 0 {
                    State::ChunkEnd
                } else {
                    State::Chunk { left }
                };
                Ok(used)
            }
            State::UntilClose => Ok(self.take(bytes, u64::MAX)),
            State::Whole => Ok(0),
        }
    }

    /// Collects one line into `self.line`; whether it is complete.
    fn collect(&mut self, bytes: &[u8]) -> Result<(usize, bool), Malformed> {
        let end = bytes.iter().position(|&b| b == b'\n');
        let used = end.map_or(bytes.len(), |at| at + 1);
        self.line.extend_from_slice(&bytes[..used]);
        if self.line.len() > MAX_LINE {
            return Err(Malformed);
        }
        Ok((used, end.is_some()))
    }

    fn head_line(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        let (used, complete) = self.collect(bytes)?;
        if !complete {
            return Ok(used);
        }
        let line = std::mem::take(&mut self.line);
        let text = std::str::from_utf8(&line).map_err(|_| Malformed)?;
        let text = text.trim_end();
        if !text.is_empty() {
            self.head.push_str(&text.to_ascii_lowercase());
            self.head.push('\n');
            return Ok(used);
        }
        self.end_head()?;
        Ok(used)
    }

    fn end_head(&mut self) -> Result<(), Malformed> {
        let status = self.head.split(' ').nth(1).and_then(|word| word.get(..3));
        let status: u16 = status.and_then(|s| s.parse().ok()).ok_or(Malformed)?;
        if status == 100 {
            self.head.clear();
            return Ok(());
        }
        self.status = status;
        self.stream &= status == 200;
        let chunked = self.header("transfer-encoding") == Some("chunked");
        let length = self.header("content-length").map(str::parse::<u64>);
        self.state = match length {
            _ if chunked => State::ChunkSize,
            Some(Ok(0)) => State::Whole,
            Some(Ok(left)) => State::Sized { left },
            Some(Err(_)) => return Err(Malformed),
            None if status == 204 => State::Whole,
            None => State::UntilClose,
        };
        Ok(())
    }

    fn chunk_size(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        let (used, complete) = self.collect(bytes)?;
        if !complete {
            return Ok(used);
        }
        let text = std::str::from_utf8(&self.line).map_err(|_| Malformed)?;
        let digits = text.split(';').next().unwrap_or("").trim();
        let left = u64::from_str_radix(digits, 16).map_err(|_| Malformed)?;
        self.line.clear();
        self.state = if left == 0 {
            State::Trailer
        } else {
            State::Chunk { left }
        };
        Ok(used)
    }

    fn blank_line(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        let (used, complete) = self.collect(bytes)?;
        if !complete {
            return Ok(used);
        }
        let blank = self.line.iter().all(u8::is_ascii_whitespace);
        self.line.clear();
        match (self.state, blank) {
            (State::Trailer, true) => self.state = State::Whole,
            (State::Trailer, false) => {}
            (_, true) => self.state = State::ChunkSize,
            (_, false) => return Err(Malformed),
        }
        Ok(used)
    }

    fn take(&mut self, bytes: &[u8], left: u64) -> usize {
        let used = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let room = MAX_KEPT.saturating_sub(self.body.len());
        self.body.extend_from_slice(&bytes[..used.min(room)]);
        if self.stream {
            self.scan_events();
        }
        used
    }

    /// Reads the lines that are complete, and forgets them.
    fn scan_events(&mut self) {
        let body = std::mem::take(&mut self.body);
        let mut from = 0;
        while let Some(end) = body[self.scanned..].iter().position(|&b| b == b'\n') {
            let end = self.scanned + end;
            self.event_line(&body[from..end]);
            from = end + 1;
            self.scanned = from;
        }
        self.body = body;
        self.body.drain(..from);
        self.scanned = self.body.len();
    }

    fn event_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(b"data: ") else {
            return;
        };
        if data.starts_with(b"[DONE]") {
            self.done = true;
        } else if let Some(text) = content(data) {
            self.token(text);
        }
    }

    /// Checks one `MARKER NUMBER ` at the start of `text`; what follows it.
    fn token<'a>(&mut self, text: &'a [u8]) -> &'a [u8] {
        let expected = self.tokens;
        self.tokens += 1;
        let Some(rest) = text.strip_prefix(self.needle.as_slice()) else {
            self.foreign = true;
            return &[];
        };
        let digits = rest.iter().take_while(|b| b.is_ascii_digit()).count();
        let number = rest[..digits]
            .iter()
            .fold(0, |n, b| n * 10 + u64::from(b - b'0'));
        self.disordered |= digits == 0 || number != expected;
        rest.get(digits + 1..).unwrap_or(&[])
    }
}

/// What follows the opening quote of the answer's text; none when it has no text.
fn content(json: &[u8]) -> Option<&[u8]> {
    let text = std::str::from_utf8(json).ok()?;
    let after = |key: &str| text.find(key).map(|at| &text[at + key.len()..]);
    let found = after("\"content\":\"").or_else(|| after("\"text\":\""))?;
    (!found.starts_with('"')).then_some(found.as_bytes())
}
