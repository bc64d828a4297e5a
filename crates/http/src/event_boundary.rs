//! Whether a stream of server-sent events ends between two events.

#[cfg(test)]
mod tests;

/// What has arrived of the current line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Nothing,
    Comment,
    Field,
}

/// Follows the bytes of a stream of server-sent events.
///
/// A line ends with a line feed, a carriage return, or both. A blank line ends an event, and an event
/// without one is discarded by its reader. Comments belong to no event.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventBoundary {
    line: Line,
    /// Whether the current event has lines.
    has_lines: bool,
    /// Whether an event has ended.
    has_events: bool,
    /// Whether the last byte was a carriage return, so that a line feed belongs to the same line end.
    after_return: bool,
    /// Whether line ends consist of two bytes.
    two_bytes: bool,
}

impl EventBoundary {
    /// Processes the next bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.push_byte(byte);
        }
    }

    /// Whether the stream could end here: an event has ended, and nothing of another one has arrived.
    pub(crate) fn is_between_events(&self) -> bool {
        let inside_line_end = self.after_return && self.two_bytes;
        self.has_events && !self.has_lines && self.line == Line::Nothing && !inside_line_end
    }

    fn push_byte(&mut self, byte: u8) {
        let after_return = std::mem::replace(&mut self.after_return, byte == b'\r');
        match byte {
            b'\n' if after_return => self.two_bytes = true,
            b'\n' | b'\r' => self.end_line(),
            b':' if self.line == Line::Nothing => self.line = Line::Comment,
            _ if self.line == Line::Nothing => self.line = Line::Field,
            _ => {}
        }
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Nothing => self.has_events |= std::mem::take(&mut self.has_lines),
            Line::Comment => {}
            Line::Field => self.has_lines = true,
        }
    }
}
