//! Output that tolerates a closed pipe.
//!
//! `println!` panics when the reader has closed the pipe, as in `crocushold check part.ini | head
//! -1`: the pipeline would show a panic and exit status 101 instead of the command's own. Output
//! that can no longer be written is of no use to anyone, so write errors are ignored.

use std::fmt::Display;
use std::io::Write;

/// Writes text to standard output.
pub(super) fn out(text: impl Display) {
    let mut out = std::io::stdout().lock();
    let _ = write!(out, "{text}").and_then(|()| out.flush());
}

/// Writes a line to standard error.
pub(super) fn error(text: impl Display) {
    let _ = writeln!(std::io::stderr().lock(), "{text}");
}
