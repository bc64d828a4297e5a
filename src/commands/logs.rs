//! Reading the log files that `trace` and `latencies` analyze.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::positional;

use super::print;

/// Exit status when a file can't be read.
const UNREADABLE: u8 = 2;

/// Parser of the log files' paths.
pub(super) fn files() -> impl Parser<Vec<PathBuf>> {
    positional::<PathBuf>("FILE")
        .help("Log files, one per instance; standard input if none is given")
        .complete_shell(bpaf::ShellComp::File { mask: None })
        .many()
}

/// Returns the text of each file, or of standard input if there are no files.
///
/// # Errors
///
/// Returns the exit status after printing which file can't be read and why.
pub(super) fn read(files: &[PathBuf]) -> Result<Vec<String>, ExitCode> {
    read_all(files).map_err(|message| {
        print::error(message);
        ExitCode::from(UNREADABLE)
    })
}

fn read_all(files: &[PathBuf]) -> Result<Vec<String>, String> {
    if files.is_empty() {
        let text = io::read_to_string(io::stdin()).map_err(|error| error.to_string())?;
        return Ok(vec![text]);
    }
    let logs = files.iter().map(|file| {
        fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))
    });
    logs.collect()
}
