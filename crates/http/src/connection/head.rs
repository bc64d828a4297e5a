//! Heads of messages: where they end, and their lines.
//!
//! A line ends in CR LF and a head in an empty line. Some parsers take a bare line feed or a bare carriage return for a
//! line end as well. Two readers that disagree on where a line or a head ends can be made to find different messages in
//! the same bytes (request smuggling). So a head with any other line end is malformed, and each of its lines is checked
//! before anything else reads it.

use std::io;

use quick_error::quick_error;

use crate::grammar::is_header_name;
use crate::grammar::is_header_value;

/// The end of a line.
pub(crate) const LINE_END: &str = "\r\n";

quick_error! {
    /// Why no head could be read.
    // `quick_error!` doesn't support restricted visibility; the module is private.
    #[allow(unreachable_pub)]
    #[derive(Debug)]
    pub enum HeadError {
        /// The connection was closed before the end of the head.
        Closed {}
        /// The head is longer than the limit.
        TooLarge {}
        /// A line ends in another way than in CR LF, or isn't a header.
        Malformed {}
        /// The socket failed.
        Io(cause: io::Error) {
            from()
        }
    }
}

/// Whether a head has a line for the header `name`.
pub(crate) fn has_header(head: &[u8], name: &str) -> bool {
    let mut lines = head.split(|byte| *byte == b'\n');
    lines.any(|line| {
        let (start, rest) = line.split_at(name.len().min(line.len()));
        start.eq_ignore_ascii_case(name.as_bytes()) && rest.starts_with(b":")
    })
}

/// Finds the end of a head and checks its lines; the first `scanned` bytes were searched before.
pub(super) fn head_end(bytes: &[u8], scanned: usize) -> Result<Option<usize>, HeadError> {
    // A carriage return at the end of the searched bytes is checked with the byte behind it.
    let from = scanned.saturating_sub(1);
    for (index, pair) in (from..).zip(bytes[from..].windows(2)) {
        match pair {
            b"\r\n" if index == 0 || bytes[..index].ends_with(b"\r\n") => {
                let end = index + 2;
                check_lines(&bytes[..index])?;
                return Ok(Some(end));
            }
            b"\r\n" => {}
            [b'\r', _] => return Err(HeadError::Malformed),
            [before, b'\n'] if *before != b'\r' => return Err(HeadError::Malformed),
            _ => {}
        }
    }
    if bytes.starts_with(b"\n") {
        return Err(HeadError::Malformed);
    }
    Ok(None)
}

/// Checks the lines of a head without the empty line at its end.
fn check_lines(head: &[u8]) -> Result<(), HeadError> {
    let text = head.strip_suffix(LINE_END.as_bytes()).unwrap_or_default();
    // Each line feed follows a carriage return.
    let lines = text.split(|byte| *byte == b'\n');
    let mut lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let first = lines.next().unwrap_or_default();
    if !first.is_empty() && is_header_value(first) && lines.all(is_header) {
        Ok(())
    } else {
        Err(HeadError::Malformed)
    }
}

fn is_header(line: &[u8]) -> bool {
    let mut parts = line.splitn(2, |byte| *byte == b':');
    let name = parts.next().unwrap_or_default();
    let value = parts.next();
    is_header_name(name) && value.is_some_and(is_header_value)
}
