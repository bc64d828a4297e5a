//! Streams of server-sent events: their media type, and counting events in the bytes.

/// The media type.
const EVENT_STREAM: &str = "text/event-stream";

/// The most bytes of an event that are kept.
const MAX_KEPT_BYTES: usize = 16 * 1024;

const DATA_FIELD: &[u8] = b"data:";
const DONE_MARKER: &[u8] = b"[DONE]";

/// Whether a `Content-Type` is that of a stream of server-sent events.
pub fn is_event_stream(content_type: &str) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}

/// Counts `data:` events across arbitrary chunk boundaries.
///
/// The end marker `[DONE]` isn't counted. The last event before it is kept, because it carries the
/// token usage that a model engine reports. An event longer than 16 KiB is counted but not kept.
#[derive(Debug, Default)]
pub struct EventCounter {
    events: u64,
    done: bool,
    /// Bytes of the current line from earlier chunks.
    partial: Vec<u8>,
    /// Whether the current line is longer than [`MAX_KEPT_BYTES`].
    oversized: bool,
    last: Vec<u8>,
}

impl EventCounter {
    /// Creates a counter at zero.
    pub fn new() -> EventCounter {
        EventCounter::default()
    }

    /// Processes the next bytes of the stream and returns the number of events that ended in them.
    pub fn push(&mut self, mut bytes: &[u8]) -> u64 {
        let before = self.events;
        while let Some(end) = find_line_feed(bytes) {
            let line = &bytes[..end];
            if self.partial.is_empty() && !self.oversized {
                self.process_line(line);
            } else {
                self.append_partial(line);
                self.finish_partial();
            }
            bytes = &bytes[end + 1..];
        }
        self.append_partial(bytes);
        self.events - before
    }

    /// The number of events so far, without the end marker.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the end marker was seen.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The data of the last event before the end marker; empty if there is none or it was too long.
    pub fn last_event(&self) -> &[u8] {
        &self.last
    }

    fn append_partial(&mut self, bytes: &[u8]) {
        if self.partial.len() + bytes.len() > MAX_KEPT_BYTES {
            self.oversized = true;
        }
        let space = MAX_KEPT_BYTES - self.partial.len();
        self.partial
            .extend_from_slice(&bytes[..bytes.len().min(space)]);
    }

    fn finish_partial(&mut self) {
        let mut partial = std::mem::take(&mut self.partial);
        if self.oversized {
            self.oversized = false;
            if partial.starts_with(DATA_FIELD) {
                self.events += 1;
                self.last.clear();
            }
        } else {
            self.process_line(&partial);
        }
        partial.clear();
        self.partial = partial;
    }

    fn process_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(DATA_FIELD) else {
            return;
        };
        let data = data.trim_ascii();
        if data == DONE_MARKER {
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
