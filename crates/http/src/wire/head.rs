//! Finding the end of a head.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why no head could be read.
    // The macro knows no restricted visibility; the module is private.
    #[allow(unreachable_pub)]
    #[derive(Debug)]
    pub enum HeadError {
        /// The connection ended inside the head.
        Closed {}
        /// The head is longer than the limit.
        TooLarge {}
        /// The head isn't HTTP/1.1.
        Malformed {}
        /// The socket failed.
        Io(cause: io::Error) {
            from()
        }
    }
}

/// Finds the end of a head behind `scanned` bytes that were looked at before.
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
        // Bare line feeds end a head for some parsers and not for others, which is how one request
        // is smuggled inside another. async-h1 would wait for a line end that never comes.
        if bytes[..end].ends_with(b"\n\n") {
            return Err(HeadError::Malformed);
        }
    }
    Ok(None)
}
