//! Printing that outlives its reader.
//!
//! `println!` panics when the reader closed the pipe, as `crocushold check part.ini | head -1` does:
//! the pipeline would show a panic and the status 101 in place of the command's own. What can't be
//! written any more is of use to nobody, so a failure to write is ignored.

use std::fmt::Display;
use std::io::Write;

/// Writes to the standard output.
pub(super) fn out(text: impl Display) {
    let mut out = std::io::stdout().lock();
    let _ = write!(out, "{text}").and_then(|()| out.flush());
}

/// Writes a line to the standard error.
pub(super) fn error(text: impl Display) {
    let _ = writeln!(std::io::stderr().lock(), "{text}");
}
