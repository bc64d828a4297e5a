//! Incremental parsing of a response.

use super::framing::Framing;
use super::framing::MalformedResponse;
use super::tokens::TokenChecker;

/// Maximum length of a body that isn't streamed, and of a line of a stream, in bytes.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;

/// A response that is being received.
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
    /// Starts the response to the request with this marker; `stream` if events are expected.
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

    /// Consumes bytes from the connection. Returns how many of them belong to this response.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is invalid or too long.
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

    /// Returns whether the response is complete according to its framing; never true for a body
    /// that ends where the connection closes.
    pub fn is_complete(&self) -> bool {
        self.framing.is_complete()
    }

    /// Returns whether the head has been received.
    pub fn has_head(&self) -> bool {
        self.status() != 0
    }

    /// Returns the status, or 0 if the head hasn't been received.
    pub fn status(&self) -> u16 {
        self.framing.status()
    }

    /// Returns the head, in lower case.
    pub fn head(&self) -> &str {
        self.framing.head()
    }

    /// Returns the value of a header, in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.framing.header(name)
    }

    /// Returns the body; of a stream, only the bytes after the last complete line.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Returns whether the response is parsed as a stream of events.
    pub fn is_stream(&self) -> bool {
        self.stream && self.status() == 200
    }

    /// Returns the number of tokens received.
    pub fn tokens(&self) -> u64 {
        self.tokens.count()
    }

    /// Returns whether the stream contained `[DONE]`.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether a token contained another request's marker.
    pub fn is_foreign(&self) -> bool {
        self.tokens.is_foreign()
    }

    /// Returns whether a token was missing, repeated or out of order.
    pub fn is_disordered(&self) -> bool {
        self.tokens.is_disordered()
    }

    /// Checks the tokens of a response that isn't streamed.
    pub fn check_body(&mut self) {
        self.tokens.check_body(&self.body);
    }

    /// Parses and discards the complete lines in the buffer.
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
