//! `crocushold latencies`: how the classes of requests fared over time, and whether the waits that were expected
//! were met, out of the logs of gateways.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use crocushold_base::Millis;
use crocushold_gateway::Chooser;
use crocushold_gateway::Expectation;
use crocushold_gateway::Span;
use crocushold_gateway::Step;
use crocushold_gateway::expectations;
use crocushold_gateway::latencies;

use super::logs;
use super::print;

/// The length of a span, in milliseconds, where none is asked for: a rush lasts some of them.
const SPAN_MS: u64 = 2000;

/// The arguments of `latencies`.
#[derive(Clone, Debug)]
pub struct Args {
    span: u64,
    files: Vec<PathBuf>,
}

/// The parser of `latencies`.
pub fn args() -> impl Parser<Args> {
    let span = long("span")
        .help("Length of a span in milliseconds (2000)")
        .argument::<u64>("MS")
        .guard(|span| *span > 0, "must be above zero")
        .fallback(SPAN_MS);
    let files = logs::files();
    construct!(Args { span, files })
        .to_options()
        .descr("Tells how the classes of requests fared over time, out of the logs of gateways")
        .footer("Exit status: 0 told, 2 a file can't be read, 64 a usage error")
        .command("latencies")
}

/// Prints the table.
pub fn run(args: &Args) -> ExitCode {
    let logs = match logs::read(&args.files) {
        Ok(logs) => logs,
        Err(status) => return status,
    };
    let lines = logs.iter().flat_map(|log| log.lines());
    print::out(
        "route            from s  ended unserved unanswered moved    first 50/90/99 ms    \
         pause 50/90/99 ms  expected 50/90/99 ms\n"
            .to_owned(),
    );
    for span in latencies(lines, Millis(args.span)) {
        print::out(row(&span));
    }
    let lines = logs.iter().flat_map(|log| log.lines());
    let told = expectations(lines);
    if !told.is_empty() {
        print::out("\nexpected wait against the first byte, 50/90 ms\n".to_owned());
    }
    for expectation in told {
        print::out(expected_row(&expectation));
    }
    ExitCode::SUCCESS
}

fn row(span: &Span) -> String {
    let three = |values: [Millis; 3]| {
        let [half, most, all] = values.map(|value| value.0);
        format!("{half}/{most}/{all}")
    };
    format!(
        "{:<16} {:>6.1} {:>6} {:>8} {:>10} {:>5} {:>20} {:>20} {:>21}\n",
        span.route,
        span.at.as_secs_f64(),
        span.ended,
        span.unserved,
        span.unanswered,
        span.moved,
        three(span.first),
        three(span.pause),
        three(span.expected),
    )
}

fn expected_row(told: &Expectation) -> String {
    let chooser = match told.chooser {
        Chooser::All => "",
        Chooser::Own => " chosen by themselves",
        Chooser::Placer => " chosen by a placer",
    };
    let route = told.route.as_deref().unwrap_or("all");
    let relation = told.correlation.map(|value| format!("{value:.2}"));
    let relation = relation.as_deref().unwrap_or("none");
    let steps: String = told.steps.iter().map(step_row).collect();
    format!("{route}{chooser}: rank correlation {relation}\n{steps}")
}

fn step_row(step: &Step) -> String {
    let [half, most] = step.first;
    let end = step.most.map(|most| format!("to {} ms", most.0));
    let end = end.as_deref().unwrap_or("beyond");
    let (half, most) = (half.0, most.0);
    format!("  {end:<12} {:>6} {half:>6}/{most}\n", step.requests)
}
