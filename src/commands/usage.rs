//! Reports help, the version, completions and usage errors.

use std::process::ExitCode;

use bpaf::ParseFailure;

use super::print;

/// Exit status of a usage error: `EX_USAGE` of `sysexits.h`. The parser's default is 1, which here
/// means "a class burns" or "rejected": a pipeline would mistake a misspelt option for one of
/// these.
const USAGE_ERROR: u8 = 64;

/// Prints help, version, completion or a usage error, and returns the exit status.
pub fn report(failure: ParseFailure) -> ExitCode {
    match failure {
        ParseFailure::Stdout(text, full) => print::out(format!("{}\n", text.monochrome(full))),
        ParseFailure::Completion(text) => print::out(text),
        ParseFailure::Stderr(text) => {
            print::error(format!("error: {}", text.monochrome(true)));
            return ExitCode::from(USAGE_ERROR);
        }
    }
    ExitCode::SUCCESS
}
