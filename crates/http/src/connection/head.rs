//! Finding the end of a head.

use std::io;

use quick_error::quick_error;

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
        /// The head ends in bare line feeds.
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

/// Finds the end of a head; the first `scanned` bytes were searched before.
pub(super) fn head_end(bytes: &[u8], scanned: usize) -> Result<Option<usize>, HeadError> {
    let from = scanned.saturating_sub(3);
    for (index, _) in bytes[from..]
        .iter()
        .enumerate()
        .filter(|(_, b)| **b == b'\n')
    {
        let end = from + index + 1;
        if bytes[..end].ends_with(b"\r\n\r\n") {
            return Ok(Some(end));
        }
        // Some parsers accept bare line feeds as the end of a head and others don't, which allows
        // request smuggling. async-h1 would wait for a line end that never arrives.
        if bytes[..end].ends_with(b"\n\n") {
            return Err(HeadError::Malformed);
        }
    }
    Ok(None)
}
