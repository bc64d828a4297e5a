//! The `crocushold` program.

use std::process::ExitCode;

use bpaf::Args;
use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use crocushold::commands::burn;
use crocushold::commands::check;
use crocushold::commands::explain;
use crocushold::commands::gateway;
use crocushold::commands::latencies;
use crocushold::commands::serve;
use crocushold::commands::status;
use crocushold::commands::trace;
use crocushold::commands::usage;

enum Command {
    Serve(serve::Args),
    Gateway(gateway::Args),
    Check(check::Args),
    Explain(explain::Args),
    Burn(burn::Args),
    Status(status::Args),
    Trace(trace::Args),
    Latencies(latencies::Args),
}

fn command() -> OptionParser<Command> {
    let serve = serve::args().map(Command::Serve);
    let gateway = gateway::args().map(Command::Gateway);
    let check = check::args().map(Command::Check);
    let explain = explain::args().map(Command::Explain);
    let burn = burn::args().map(Command::Burn);
    let status = status::args().map(Command::Status);
    let trace = trace::args().map(Command::Trace);
    let latencies = latencies::args().map(Command::Latencies);
    construct!([
        serve, gateway, check, explain, burn, status, trace, latencies
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("A router for language-model traffic with service levels and priorities")
    .footer(
        "Exit status: 0 success; 1 and 2 as described in the command's own --help; 64 a usage error. \
             Shell completion: crocushold --bpaf-complete-style-bash (or zsh, fish)",
    )
}

fn main() -> ExitCode {
    match command().run_inner(Args::current_args()) {
        Ok(Command::Serve(args)) => serve::run(&args),
        Ok(Command::Gateway(args)) => gateway::run(&args),
        Ok(Command::Check(args)) => check::run(&args),
        Ok(Command::Explain(args)) => explain::run(&args),
        Ok(Command::Burn(args)) => burn::run(&args),
        Ok(Command::Status(args)) => status::run(&args),
        Ok(Command::Trace(args)) => trace::run(&args),
        Ok(Command::Latencies(args)) => latencies::run(&args),
        Err(failure) => usage::report(failure),
    }
}
