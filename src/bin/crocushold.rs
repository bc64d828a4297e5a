//! The `crocushold` program.

use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use crocushold::commands::burn;
use crocushold::commands::check;
use crocushold::commands::explain;
use crocushold::commands::serve;
use crocushold::commands::status;

/// The subcommands.
enum Command {
    Serve(serve::Args),
    Check(check::Args),
    Explain(explain::Args),
    Burn(burn::Args),
    Status(status::Args),
}

fn command() -> OptionParser<Command> {
    let serve = serve::args().map(Command::Serve);
    let check = check::args().map(Command::Check);
    let explain = explain::args().map(Command::Explain);
    let burn = burn::args().map(Command::Burn);
    let status = status::args().map(Command::Status);
    construct!([serve, check, explain, burn, status])
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
        Command::Burn(args) => burn::run(&args),
        Command::Status(args) => status::run(&args),
    }
}
