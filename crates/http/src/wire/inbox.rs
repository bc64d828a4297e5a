//! What was read from a socket and not yet handed out.

/// Room that an empty inbox keeps.
const KEPT_BYTES: usize = 1024;

/// Bytes read ahead, and the state of the reading side.
#[derive(Default)]
pub(super) struct Inbox {
    /// Bytes that were read and not yet handed out, from `start` on.
    pub(super) bytes: Vec<u8>,
    pub(super) start: usize,
    /// How many bytes the gate may still hand out.
    pub(super) allowance: u64,
    /// The last read through the gate found nothing to read.
    pub(super) waiting: bool,
    /// The peer closed its side.
    pub(super) ended: bool,
    /// What is left to write of the interim answer before the body is read.
    pub(super) interim: &'static [u8],
}

impl Inbox {
    pub(super) fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    pub(super) fn take(&mut self, count: usize) {
        self.start += count;
        if self.start == self.bytes.len() {
            self.start = 0;
            self.bytes.clear();
            // An idle connection would keep room for the longest head that it ever got.
            if self.bytes.capacity() > KEPT_BYTES {
                self.bytes = Vec::new();
            }
        }
    }

    pub(super) fn append(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
    }

    pub(super) fn skip_blank_lines(&mut self) {
        while self.unread().starts_with(b"\r\n") {
            self.take(2);
        }
    }
}
