//! Bytes that were read from a socket but not consumed yet.

use super::chunks::ChunkDecoder;

/// The largest capacity that an empty buffer retains, in bytes.
const RETAINED_CAPACITY: usize = 1024;

/// The read buffer of a connection, and the state of its reading side.
#[derive(Default)]
pub(super) struct ReadBuffer {
    /// Bytes read from the socket; those from `start` on are unread.
    pub(super) bytes: Vec<u8>,
    pub(super) start: usize,
    /// How many bytes of the current message may still be read.
    pub(super) remaining: u64,
    /// The decoder of the current body, if it is in chunks.
    pub(super) chunks: Option<ChunkDecoder>,
    /// Bytes of framing that were decoded since the task last yielded for them.
    pub(super) framing_bytes: usize,
    /// Whether the peer has closed its side.
    pub(super) eof: bool,
    /// The rest of the interim answer, to be written before the body is read.
    pub(super) interim: &'static [u8],
}

impl ReadBuffer {
    pub(super) fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    pub(super) fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start == self.bytes.len() {
            self.start = 0;
            self.bytes.clear();
            // Otherwise an idle connection would retain capacity for the longest head it ever
            // received.
            if self.bytes.capacity() > RETAINED_CAPACITY {
                self.bytes = Vec::new();
            }
        }
    }

    pub(super) fn append(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.start = 0;
        // The buffer is small and bounded; doubled, it would take twice the bound.
        self.bytes.reserve_exact(bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// Puts back bytes that were consumed last.
    pub(super) fn put_back(&mut self, bytes: &[u8]) {
        let start = self.start;
        self.bytes.splice(start..start, bytes.iter().copied());
        self.remaining += bytes.len() as u64;
    }

    /// Skips blank lines and returns the number of their bytes.
    pub(super) fn skip_blank_lines(&mut self) -> usize {
        let mut count = 0;
        while self.unread().starts_with(b"\r\n") {
            self.consume(2);
            count += 2;
        }
        count
    }
}
