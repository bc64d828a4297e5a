//! Reading an answer as it arrives, cheaply.

use super::framing::Framing;
use super::framing::MalformedResponse;
use super::tokens::TokenChecker;

/// Longest body that is kept whole, and longest line of a stream, in bytes.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;

/// An answer that is being read.
#[derive(Debug)]
pub struct Response {
    framing: Framing,
    tokens: TokenChecker,
    stream: bool,
    body: Vec<u8>,
    scanned: usize,
    done: bool,
}

impl Response {
    /// Begins to read the answer to the request with this marker; `stream` when events are expected.
    pub fn new(marker: &str, stream: bool) -> Response {
        Response {
            framing: Framing::default(),
            tokens: TokenChecker::new(marker),
            stream,
            body: Vec::new(),
            scanned: 0,
            done: false,
        }
    }

    /// Takes the next bytes from the connection; how many of them belong to this answer.
    ///
    /// # Errors
    ///
    /// Fails when the bytes aren't an answer, or the answer is too long.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<usize, MalformedResponse> {
        let used = self.framing.feed(bytes, &mut self.body)?;
        if self.is_stream() {
            self.scan_events();
        }
        if self.body.len() > MAX_BUFFERED_BYTES {
            return Err(MalformedResponse);
        }
        Ok(used)
    }

    /// Whether the framing says that the answer is whole. A body that ends where the connection
    /// closes never says so.
    pub fn is_complete(&self) -> bool {
        self.framing.is_complete()
    }

    /// Whether the head has arrived.
    pub fn has_head(&self) -> bool {
        self.status() != 0
    }

    /// The status; 0 before the head has arrived.
    pub fn status(&self) -> u16 {
        self.framing.status()
    }

    /// The head, in lower case.
    pub fn head(&self) -> &str {
        self.framing.head()
    }

    /// The value of a header, in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.framing.header(name)
    }

    /// The body, as far as it isn't a stream.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Whether the answer is read as a stream of events.
    pub fn is_stream(&self) -> bool {
        self.stream && self.status() == 200
    }

    /// Tokens that arrived.
    pub fn tokens(&self) -> u64 {
        self.tokens.count()
    }

    /// Whether the stream said `[DONE]`.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Whether a token carried another request's marker.
    pub fn is_foreign(&self) -> bool {
        self.tokens.is_foreign()
    }

    /// Whether a token was missing, repeated or out of its place.
    pub fn is_disordered(&self) -> bool {
        self.tokens.is_disordered()
    }

    /// Checks the tokens of a whole (not streamed) answer.
    pub fn check_body(&mut self) {
        self.tokens.check_body(&self.body);
    }

    /// Reads the lines that are complete, and forgets them.
    fn scan_events(&mut self) {
        let mut from = 0;
        while let Some(length) = line_length(&self.body[self.scanned..]) {
            let end = self.scanned + length;
            let line = &self.body[from..end];
            if let Some(data) = line.strip_prefix(b"data: ") {
                self.done |= data.starts_with(b"[DONE]");
                self.tokens.check_event(data);
            }
            from = end + 1;
            self.scanned = from;
        }
        self.body.drain(..from);
        self.scanned = self.body.len();
    }
}

fn line_length(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|&b| b == b'\n')
}
