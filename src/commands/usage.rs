//! What becomes of arguments that don't make a command.

use std::process::ExitCode;

use bpaf::ParseFailure;

use super::print;

/// The arguments are wrong; the value is `EX_USAGE` of `sysexits.h`. The parser's own is 1, which
/// says "a class burns" or "rejected" here: a misspelt option in a pipeline would look like that.
const USAGE: u8 = 64;

/// Prints help, version, completion or a usage error, and returns the exit status.
pub fn answer(failure: ParseFailure) -> ExitCode {
    match failure {
        ParseFailure::Stdout(text, full) => print::out(format!("{}\n", text.monochrome(full))),
        ParseFailure::Completion(text) => print::out(text),
        ParseFailure::Stderr(text) => {
            print::error(format!("error: {}", text.monochrome(true)));
            return ExitCode::from(USAGE);
        }
    }
    ExitCode::SUCCESS
}
