//! The `crocushold` program.

use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;

use crocushold::commands::serve;

/// The subcommands.
enum Command {
    Serve(serve::Args),
}

fn command() -> OptionParser<Command> {
    serve::args()
        .map(Command::Serve)
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A router for language-model traffic with service levels and priorities")
}

fn main() -> ExitCode {
    match command().run() {
        Command::Serve(args) => serve::run(args),
    }
}
