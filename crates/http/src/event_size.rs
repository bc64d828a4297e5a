//! The size of the event that a stream of server-sent events is in.

#[cfg(test)]
mod tests;

/// Counts the bytes since the last blank line of a stream.
///
/// It is looked for from the end of each piece, where most pieces have one, so that few bytes are looked at.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventSize {
    bytes: u64,
    /// The last byte of the stream.
    last: u8,
}

impl EventSize {
    /// Processes the next bytes of the stream and returns the size of the event so far.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> u64 {
        let Some((&first, &last)) = bytes.first().zip(bytes.last()) else {
            return self.bytes;
        };
        let mut pairs = bytes.windows(2);
        self.bytes = match pairs.rposition(|pair| ends_event(pair[0], pair[1])) {
            Some(position) => (bytes.len() - position - 2) as u64,
            None if ends_event(self.last, first) => (bytes.len() - 1) as u64,
            None => self.bytes + bytes.len() as u64,
        };
        self.last = last;
        self.bytes
    }
}

/// Whether a blank line begins at the second of two bytes, which a line end precedes. Lines end with a line
/// feed, a carriage return, or both.
fn ends_event(before: u8, byte: u8) -> bool {
    matches!((before, byte), (b'\n', b'\n' | b'\r') | (b'\r', b'\r'))
}
