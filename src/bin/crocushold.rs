//! The `crocushold` program.

use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use crocushold::commands::check;
use crocushold::commands::explain;
use crocushold::commands::serve;

/// The subcommands.
enum Command {
    Serve(serve::Args),
    Check(check::Args),
    Explain(explain::Args),
}

fn command() -> OptionParser<Command> {
    let serve = serve::args().map(Command::Serve);
    let check = check::args().map(Command::Check);
    let explain = explain::args().map(Command::Explain);
    construct!([serve, check, explain])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A router for language-model traffic with service levels and priorities")
        .footer("Completion for a shell: crocushold --bpaf-complete-style-bash (or zsh, fish)")
}

fn main() -> ExitCode {
    match command().run() {
        Command::Serve(args) => serve::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Explain(args) => explain::run(&args),
    }
}
