//! Counting server-sent events in a stream of bytes.

/// The most bytes of one event that are kept.
const KEEP_BYTES: usize = 16 * 1024;

const FIELD: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// Counts `data:` events across arbitrary chunk borders.
///
/// The end marker `[DONE]` isn't counted. The last event before it is kept, since it carries the
/// usage that a model engine reports; an event longer than 16 KiB isn't kept.
#[derive(Debug, Default)]
pub struct EventCounter {
    events: u64,
    done: bool,
    /// Bytes of the line at hand that came with earlier chunks.
    partial: Vec<u8>,
    /// The line at hand is longer than what is kept.
    oversized: bool,
    last: Vec<u8>,
}

impl EventCounter {
    /// Starts a count.
    pub fn new() -> EventCounter {
        EventCounter::default()
    }

    /// Takes the next bytes of the stream and returns how many events ended in them.
    pub fn push(&mut self, mut bytes: &[u8]) -> u64 {
        let before = self.events;
        while let Some(end) = find_line_feed(bytes) {
            let line = &bytes[..end];
            if self.partial.is_empty() && !self.oversized {
                self.line(line);
            } else {
                self.keep(line);
                self.end_partial();
            }
            bytes = &bytes[end + 1..];
        }
        self.keep(bytes);
        self.events - before
    }

    /// Events so far, without the end marker.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the end marker was seen.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The data of the last event that isn't the end marker; empty when there is none.
    pub fn last_event(&self) -> &[u8] {
        &self.last
    }

    fn keep(&mut self, bytes: &[u8]) {
        if self.partial.len() + bytes.len() > KEEP_BYTES {
            self.oversized = true;
        }
        let room = KEEP_BYTES - self.partial.len();
        self.partial
            .extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn end_partial(&mut self) {
        let mut partial = std::mem::take(&mut self.partial);
        if self.oversized {
            self.oversized = false;
            if partial.starts_with(FIELD) {
                self.events += 1;
                self.last.clear();
            }
        } else {
            self.line(&partial);
        }
        partial.clear();
        self.partial = partial;
    }

    fn line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(FIELD) else {
            return;
        };
        let data = data.trim_ascii();
        if data == DONE {
            self.done = true;
            return;
        }
        self.events += 1;
        self.last.clear();
        self.last.extend_from_slice(data);
    }
}

fn find_line_feed(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}
