//! Log records formatted as one line of `key=value` pairs.

use std::fmt;
use std::fmt::Write;

/// One log record: an event name followed by `key=value` pairs.
///
/// Values with characters other than plain word characters are quoted and escaped, so that text
/// from a caller (a colon or a line break in a header) can't forge another record or another pair.
#[derive(Clone, Debug)]
pub struct Event {
    line: String,
}

impl Event {
    /// Starts a record for the event `name`.
    pub fn new(name: &str) -> Event {
        Event {
            line: format!("event={name}"),
        }
    }

    /// Appends one pair.
    #[must_use]
    pub fn with(mut self, key: &str, value: impl fmt::Display) -> Event {
        let written = write!(self.line, " {key}={}", one_word(value));
        debug_assert!(written.is_ok(), "writing to a String can't fail");
        self
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.line)
    }
}

/// Writes a value as one word, quoted and escaped unless it is plain.
pub fn one_word(value: impl fmt::Display) -> String {
    let text = value.to_string();
    if !text.is_empty() && text.chars().all(is_plain) {
        text
    } else {
        format!("{text:?}")
    }
}

fn is_plain(c: char) -> bool {
    c.is_ascii_alphanumeric() || "-_./:+%[]".contains(c)
}
