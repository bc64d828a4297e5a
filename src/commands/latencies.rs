//! `crocushold latencies`: latencies of the request classes over time, and how well expected waits
//! predicted the first byte, from the logs of gateways.

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

/// Default length of an interval in milliseconds. A burst of requests lasts several intervals of
/// this length.
const DEFAULT_INTERVAL_MS: u64 = 2000;

/// The arguments of `latencies`.
#[derive(Clone, Debug)]
pub struct Args {
    interval_ms: u64,
    files: Vec<PathBuf>,
}

/// The parser of `latencies`.
pub fn args() -> impl Parser<Args> {
    let interval_ms = long("span")
        .help("Length of an interval in milliseconds (2000)")
        .argument::<u64>("MS")
        .guard(|interval_ms| *interval_ms > 0, "must be above zero")
        .fallback(DEFAULT_INTERVAL_MS);
    let files = logs::files();
    construct!(Args { interval_ms, files })
        .to_options()
        .descr("Shows the latencies of the request classes over time, from the logs of gateways")
        .footer("Exit status: 0 success, 2 a file can't be read, 64 a usage error")
        .command("latencies")
}

/// Prints the latency table and the predictions of waits.
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
    for interval in latencies(lines, Millis(args.interval_ms)) {
        print::out(row(&interval));
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

fn row(interval: &ClassInterval) -> String {
    let quantiles = |values: [Millis; 3]| {
        let [p50, p90, p99] = values.map(|value| value.0);
        format!("{p50}/{p90}/{p99}")
    };
    format!(
        "{:<16} {:>6.1} {:>6} {:>8} {:>10} {:>5} {:>20} {:>20} {:>21}\n",
        interval.route,
        interval.start.as_secs_f64(),
        interval.ended,
        interval.unserved,
        interval.unanswered,
        interval.transferred,
        quantiles(interval.first_byte),
        quantiles(interval.longest_pause),
        quantiles(interval.expected_wait),
    )
}

fn prediction_row(prediction: &WaitPrediction) -> String {
    let chooser = match prediction.chooser {
        Chooser::All => "",
        Chooser::Own => " chosen by themselves",
        Chooser::Placer => " chosen by a placer",
    };
    let route = prediction.route.as_deref().unwrap_or("all");
    let correlation = prediction.correlation.map(|value| format!("{value:.2}"));
    let correlation = correlation.as_deref().unwrap_or("none");
    let buckets: String = prediction.buckets.iter().map(bucket_row).collect();
    format!("{route}{chooser}: rank correlation {correlation}\n{buckets}")
}

fn bucket_row(bucket: &WaitBucket) -> String {
    let [p50, p90] = bucket.first_byte;
    let range = bucket.upper_bound.map(|bound| format!("to {} ms", bound.0));
    let range = range.as_deref().unwrap_or("beyond");
    let (p50, p90) = (p50.0, p90.0);
    format!("  {range:<12} {:>6} {p50:>6}/{p90}\n", bucket.requests)
}
