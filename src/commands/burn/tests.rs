//! Tests of the command against fake instances.

use async_std::task;
use bpaf::Parser;
use crocushold_base::Millis;
use crocushold_metrics::ClassSettings;
use crocushold_metrics::InstanceInfo;
use crocushold_metrics::Metrics;
use crocushold_metrics::RequestEnd;
use crocushold_metrics::RequestRecord;
use crocushold_platform::FetchError;
use crocushold_platform::Get;
use crocushold_platform::Reply;
use test_case::test_case;

use super::*;

/// Fake instances, selected by address: `fine`, `burning`, or any other address, which times out.
struct Instances;

impl Fetch for Instances {
    async fn get(&self, get: Get) -> Result<Reply, FetchError> {
        assert_eq!(get.target.as_str(), "/metrics");
        let end = match &*get.address {
            "fine" => RequestEnd::Completed,
            "burning" => RequestEnd::Cut,
            _ => return Err(FetchError::Timeout),
        };
        Ok(Reply {
            status: 200,
            body: metrics(&get.address, end),
            ..Reply::default()
        })
    }
}

fn metrics(instance: &str, end: RequestEnd) -> String {
    let info = InstanceInfo {
        instance: instance.to_owned(),
        ..InstanceInfo::default()
    };
    let metrics = Metrics::new(&info);
    let class = metrics.class(&ClassSettings::default());
    let now = Millis::from_secs(24 * 3600);
    let record = RequestRecord {
        end,
        ..RequestRecord::default()
    };
    class.finish(&record, now);
    metrics.render(now)
}

fn parse(line: &[&str]) -> Result<Args, bpaf::ParseFailure> {
    args().to_options().run_inner(line)
}

#[test_case(&["fine"], NOT_BURNING)]
#[test_case(&["fine", "burning"], BURNING)]
#[test_case(&["fine", "gone"], INCOMPLETE)]
#[test_case(&["gone", "burning"], BURNING; "burning goes first")]
#[test_case(&["gone"], INCOMPLETE; "none read")]
fn the_exit_status_reflects_the_report(instances: &[&str], expected: u8) {
    let mut line = vec!["burn"];
    for instance in instances {
        line.extend(["--instance", instance]);
    }
    let args = parse(&line).expect("accepted");
    let report = task::block_on(report(&Instances, &args));
    assert_eq!(exit_status(&report), expected, "{report}");
    for gone in instances.iter().filter(|i| **i == "gone") {
        assert!(
            render(&report, false).contains(gone),
            "an unreadable instance is always reported"
        );
        assert!(
            render(&report, true).contains(gone),
            "an unreadable instance is always reported"
        );
    }
}

#[test]
fn windows_and_rates_are_arguments() {
    let line = "burn --instance a --short 30m --long 6h --page 10 --ticket 2 --json";
    let line: Vec<&str> = line.split(' ').collect();
    let args = parse(&line).expect("accepted");
    let page = BurnRule {
        short: Window::HalfHour,
        long: Window::SixHours,
        factor: 10.0,
        ..BurnRules::default().page
    };
    assert_eq!(args.rules.page, page);
    assert_eq!(args.rules.ticket.factor, 2.0);
    assert!(args.json);
}

#[test_case("burn"; "no instance")]
#[test_case("burn --instance a --short 10m"; "unknown window")]
#[test_case("burn --instance a --short 1h --long 5m"; "windows swapped")]
#[test_case("burn --instance a --page 0"; "no rate")]
#[test_case("burn --instance a --page NaN"; "no number")]
fn invalid_arguments_are_rejected(line: &str) {
    let line: Vec<&str> = line.split(' ').collect();
    let failure = parse(&line).expect_err("refused");
    assert!(matches!(failure, bpaf::ParseFailure::Stderr(_)));
}
