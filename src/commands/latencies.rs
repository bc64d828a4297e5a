//! `crocushold latencies`: how the classes of requests fared over time, and whether the waits that were expected
//! were met, out of the logs of gateways.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use crocushold_base::Millis;
use crocushold_gateway::Chooser;
use crocushold_gateway::ClassInterval;
use crocushold_gateway::WaitBucket;
use crocushold_gateway::WaitPrediction;
use crocushold_gateway::latencies;
use crocushold_gateway::wait_predictions;

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
    let predictions = wait_predictions(lines);
    if !predictions.is_empty() {
        print::out("\nexpected wait against the first byte, 50/90 ms\n".to_owned());
    }
    for prediction in predictions {
        print::out(prediction_row(&prediction));
    }
    ExitCode::SUCCESS
}

fn row(span: &ClassInterval) -> String {
    let three = |values: [Millis; 3]| {
        let [half, most, all] = values.map(|value| value.0);
        format!("{half}/{most}/{all}")
    };
    format!(
        "{:<16} {:>6.1} {:>6} {:>8} {:>10} {:>5} {:>20} {:>20} {:>21}\n",
        span.route,
        span.start.as_secs_f64(),
        span.ended,
        span.unserved,
        span.unanswered,
        span.transferred,
        three(span.first_byte),
        three(span.longest_pause),
        three(span.expected_wait),
    )
}

fn prediction_row(prediction: &WaitPrediction) -> String {
    let chooser = match prediction.chooser {
        Chooser::All => "",
        Chooser::Own => " chosen by themselves",
        Chooser::Placer => " chosen by a placer",
    };
    let route = prediction.route.as_deref().unwrap_or("all");
    let relation = prediction.correlation.map(|value| format!("{value:.2}"));
    let relation = relation.as_deref().unwrap_or("none");
    let buckets: String = prediction.buckets.iter().map(bucket_row).collect();
    format!("{route}{chooser}: rank correlation {relation}\n{buckets}")
}

fn bucket_row(bucket: &WaitBucket) -> String {
    let [half, most] = bucket.first_byte;
    let end = bucket.upper_bound.map(|most| format!("to {} ms", most.0));
    let end = end.as_deref().unwrap_or("beyond");
    let (half, most) = (half.0, most.0);
    format!("  {end:<12} {:>6} {half:>6}/{most}\n", bucket.requests)
}
