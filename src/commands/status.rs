//! `crocushold status`: shows the status documents of running instances.

use std::fmt::Write;
use std::process::ExitCode;

use async_std::task;
use bpaf::Parser;
use bpaf::long;
use crocushold_metrics::status::Status;
use crocushold_platform::Document;
use crocushold_platform::Fetch;
use crocushold_platform::HttpFetch;
use crocushold_platform::fetch_all;
use serde::Serialize;

use super::print;

#[cfg(test)]
mod tests;

/// Exit status when every instance was read.
const COMPLETE: u8 = 0;
/// Exit status when some instance could not be read.
const INCOMPLETE: u8 = 2;

/// The arguments of `status`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    instances: Vec<String>,
    json: bool,
}

/// The result of reading one address.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Reading {
    address: String,
    #[serde(flatten)]
    outcome: Outcome,
}

/// A status document, or why there is none.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
enum Outcome {
    Status(Box<Status>),
    Error(String),
}

/// The parser of `status`.
pub fn args() -> impl Parser<Args> {
    let instances = long("instance")
        .help("Operator address of an instance; repeat for each instance")
        .argument::<String>("ADDR")
        .some("give at least one --instance ADDR");
    let json = long("json").help("Print JSON instead of tables").switch();
    bpaf::construct!(Args { instances, json })
        .to_options()
        .descr("Shows instances' configuration, peers, classes, backend servers and limits")
        .footer(
            "Exit status: 0 every instance was read; 2 an instance could not be read; 64 a usage \
             error.",
        )
        .command("status")
}

/// Reads the status of the instances and prints it.
pub fn run(args: &Args) -> ExitCode {
    let readings = task::block_on(read(&HttpFetch::default(), &args.instances));
    print::out(render(&readings, args.json));
    ExitCode::from(exit_status(&readings))
}

async fn read(client: &impl Fetch, instances: &[String]) -> Vec<Reading> {
    let documents = fetch_all(client, instances, "/status").await;
    documents.into_iter().map(reading).collect()
}

fn reading(document: Document) -> Reading {
    Reading {
        address: document.address,
        outcome: match document.text {
            Ok(text) => parse(&text),
            Err(error) => Outcome::Error(error.to_string()),
        },
    }
}

fn parse(text: &str) -> Outcome {
    match serde_json::from_str(text) {
        Ok(status) => Outcome::Status(Box::new(status)),
        Err(error) => Outcome::Error(format!("no status document: {error}")),
    }
}

fn render(readings: &[Reading], json: bool) -> String {
    if json {
        let text = serde_json::to_string_pretty(readings);
        let text = text.expect("the document has only text keys");
        return format!("{text}\n");
    }
    let mut text = String::new();
    for reading in readings {
        let written = write_reading(&mut text, reading);
        debug_assert!(written.is_ok(), "writing to a String can't fail");
    }
    text + &differing_revisions(readings)
}

fn write_reading(text: &mut String, reading: &Reading) -> std::fmt::Result {
    match &reading.outcome {
        Outcome::Status(status) => writeln!(text, "== {}\n{status}", reading.address),
        Outcome::Error(error) => writeln!(text, "== {}\nnot read: {error}\n", reading.address),
    }
}

/// Lists the revisions in force if the instances don't all have the same one.
fn differing_revisions(readings: &[Reading]) -> String {
    let revisions = readings.iter().filter_map(|r| match &r.outcome {
        Outcome::Status(status) => Some(status.config.revision),
        Outcome::Error(_) => None,
    });
    let mut revisions: Vec<u64> = revisions.collect();
    revisions.sort_unstable();
    revisions.dedup();
    if revisions.len() < 2 {
        return String::new();
    }
    format!("finding: instances have different revisions in force: {revisions:?}\n")
}

fn exit_status(readings: &[Reading]) -> u8 {
    let failed = |r: &Reading| matches!(r.outcome, Outcome::Error(_));
    if readings.iter().any(failed) {
        INCOMPLETE
    } else {
        COMPLETE
    }
}
