//! `crocushold burn`: burn rates of the error budgets, read from running instances.

use std::process::ExitCode;

use async_std::task;
use bpaf::Parser;
use bpaf::long;
use crocushold_metrics::BurnReport;
use crocushold_metrics::BurnRule;
use crocushold_metrics::BurnRules;
use crocushold_metrics::Scrape;
use crocushold_metrics::Severity;
use crocushold_metrics::Window;
use crocushold_platform::Document;
use crocushold_platform::Fetch;
use crocushold_platform::HttpFetch;
use crocushold_platform::fetch_all;

use super::print;

#[cfg(test)]
mod tests;

/// Exit status when every instance was read and no class burns.
const NOT_BURNING: u8 = 0;
/// Exit status when a class burns, whether or not every instance was read.
const BURNING: u8 = 1;
/// Exit status when no class is known to burn but some instance could not be read.
const INCOMPLETE: u8 = 2;

/// The arguments of `burn`.
#[derive(Clone, Debug, PartialEq)]
pub struct Args {
    instances: Vec<String>,
    rules: BurnRules,
    json: bool,
}

/// The parser of `burn`.
pub fn args() -> impl Parser<Args> {
    let instances = long("instance")
        .help("Operator address of an instance; repeat for each instance")
        .argument::<String>("ADDR")
        .some("give at least one --instance ADDR");
    let json = long("json").help("Print JSON instead of a table").switch();
    let rules = rules();
    bpaf::construct!(Args {
        instances,
        rules,
        json
    })
    .to_options()
    .descr("Shows how fast each class burns its error budget")
    .footer(
        "Exit status: 0 no class burns; 1 a class burns; 2 no class is seen to burn, but an \
         instance could not be read; 64 a usage error.",
    )
    .command("burn")
}

fn rules() -> impl Parser<BurnRules> {
    let BurnRules { page, ticket } = BurnRules::default();
    let page = rule(["short", "long", "page"], page, "that pages");
    let names = ["ticket-short", "ticket-long", "ticket"];
    let ticket = rule(names, ticket, "that makes a ticket");
    bpaf::construct!(BurnRules { page, ticket })
}

/// Parser of one burn rate rule, given the names of its three options.
fn rule(names: [&'static str; 3], defaults: BurnRule, effect: &str) -> impl Parser<BurnRule> {
    let [short_name, long_name, factor_name] = names;
    let short_window = window(
        short_name,
        defaults.short,
        &format!("Short window {effect}: 5m, 30m, 1h or 6h"),
    );
    let long_window = window(
        long_name,
        defaults.long,
        &format!("Long window {effect}: 5m, 30m, 1h or 6h"),
    );
    let help = format!("Burn rate {effect} when both windows reach it");
    let factor = long(factor_name)
        .help(&*help)
        .argument::<f64>("RATE")
        .guard(is_valid_rate, "a burn rate is a positive number")
        .fallback(defaults.factor)
        .display_fallback();
    bpaf::construct!(short_window, long_window, factor)
        .map(move |(short, long, factor)| BurnRule {
            short,
            long,
            factor,
            ..defaults
        })
        .guard(
            |rule| rule.short < rule.long,
            "the short window has to be shorter than the long one",
        )
}

fn window(name: &'static str, defaults: Window, help: &str) -> impl Parser<Window> + use<> {
    long(name)
        .help(help)
        .argument::<Window>("WINDOW")
        .fallback(defaults)
        .display_fallback()
}

fn is_valid_rate(rate: &f64) -> bool {
    rate.is_finite() && *rate > 0.0
}

/// Reads the metrics of the instances and prints the report.
pub fn run(args: &Args) -> ExitCode {
    let report = task::block_on(report(&HttpFetch::default(), args));
    print::out(render(&report, args.json));
    ExitCode::from(exit_status(&report))
}

async fn report(client: &impl Fetch, args: &Args) -> BurnReport {
    let documents = fetch_all(client, &args.instances, "/metrics").await;
    let scrapes: Vec<Scrape> = documents.into_iter().map(scrape).collect();
    BurnReport::from_scrapes(&args.rules, &scrapes)
}

fn scrape(document: Document) -> Scrape {
    Scrape {
        address: document.address,
        text: document.text.map_err(|e| e.to_string()),
    }
}

fn render(report: &BurnReport, json: bool) -> String {
    if !json {
        return report.to_string();
    }
    let text = serde_json::to_string_pretty(report);
    let text = text.expect("the report has only finite numbers and text keys");
    format!("{text}\n")
}

fn exit_status(report: &BurnReport) -> u8 {
    if report.severity() > Severity::Fine {
        return BURNING;
    }
    if report.is_complete() {
        NOT_BURNING
    } else {
        INCOMPLETE
    }
}
