//! `crocushold trace`: explains a request from the logs of gateways.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::positional;
use crocushold_gateway::trace;

use super::logs;
use super::print;

/// Exit status when no log line mentions the request.
const NOT_FOUND: u8 = 1;

/// The arguments of `trace`.
#[derive(Clone, Debug)]
pub struct Args {
    id: String,
    files: Vec<PathBuf>,
}

/// The parser of `trace`.
pub fn args() -> impl Parser<Args> {
    let id = positional::<String>("ID").help("The request's identifier, as its caller sent it");
    let files = logs::files();
    construct!(Args { id, files })
        .to_options()
        .descr("Explains a request from the logs of gateways")
        .footer("Exit status: 0 explained, 1 no line mentions it, 2 a file can't be read, 64 a usage error")
        .command("trace")
}

/// Prints the log lines that explain the request.
pub fn run(args: &Args) -> ExitCode {
    let logs = match logs::read(&args.files) {
        Ok(logs) => logs,
        Err(status) => return status,
    };
    let mut found = false;
    for log in &logs {
        let lines: Vec<&str> = log.lines().collect();
        for line in trace(&lines, &args.id) {
            found = true;
            print::out(format!("{line}\n"));
        }
    }
    if found {
        return ExitCode::SUCCESS;
    }
    print::error(format!("no line tells of request {}", args.id));
    ExitCode::from(NOT_FOUND)
}
