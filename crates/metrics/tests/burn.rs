//! The burn report over the metrics of one or more instances.

use crocushold_base::Millis;
use crocushold_metrics::BurnReport;
use crocushold_metrics::BurnRules;
use crocushold_metrics::ClassMetrics;
use crocushold_metrics::ClassSettings;
use crocushold_metrics::InstanceInfo;
use crocushold_metrics::Metrics;
use crocushold_metrics::Problem;
use crocushold_metrics::RequestEnd;
use crocushold_metrics::RequestRecord;
use crocushold_metrics::Scrape;
use crocushold_metrics::Severity;
use test_case::test_case;

const DAY: Millis = Millis::from_secs(24 * 3600);

/// An instance with the class `chat`, by default with an objective of 99%.
struct Instance {
    metrics: Metrics,
    chat: ClassMetrics,
}

impl Instance {
    fn new(name: &str) -> Instance {
        Instance::with_objective(name, 0.99)
    }

    fn with_objective(name: &str, objective: f64) -> Instance {
        let info = InstanceInfo {
            instance: name.into(),
            ..InstanceInfo::default()
        };
        let metrics = Metrics::new(&info);
        let settings = ClassSettings {
            name: "chat".into(),
            objective,
            ..ClassSettings::default()
        };
        let chat = metrics.class(&settings);
        Instance { metrics, chat }
    }

    /// Records requests that ended `ago` before [`DAY`].
    fn record(&self, ago: Millis, attained: u64, missed: u64) {
        let at = Millis(DAY.0 - ago.0);
        for _ in 0..attained {
            self.chat.finish(&RequestRecord::default(), at);
        }
        let cut = RequestRecord {
            end: RequestEnd::Cut,
            ..RequestRecord::default()
        };
        for _ in 0..missed {
            self.chat.finish(&cut, at);
        }
    }

    fn scrape(&self, address: &str) -> Scrape {
        self.scrape_at(address, DAY)
    }

    fn scrape_at(&self, address: &str, now: Millis) -> Scrape {
        Scrape {
            address: address.into(),
            text: Ok(self.metrics.render(now)),
        }
    }
}

fn report(scrapes: &[Scrape]) -> BurnReport {
    BurnReport::from_scrapes(&BurnRules::default(), scrapes)
}

/// Misses that have stopped leave the short window clean, and a brief spike leaves the burn rate of
/// the long window low. A rule may fire only if both of its windows reach its burn rate.
#[test_case(Millis::from_secs(1800), Millis::from_secs(1800), Severity::Fine; "recovered")]
#[test_case(Millis::from_secs(5 * 3600), Millis::from_secs(5 * 3600), Severity::Fine; "recovered hours ago")]
#[test_case(Millis::from_secs(60), Millis::from_secs(1800), Severity::Page; "sustained")]
#[test_case(Millis::from_secs(1200), Millis::from_secs(5 * 3600), Severity::Ticket; "slow burn")]
fn both_windows_must_reach_the_burn_rate(recent: Millis, earlier: Millis, severity: Severity) {
    let instance = Instance::new("entry-1");
    instance.record(recent, 80, 20);
    instance.record(earlier, 80, 20);
    assert_eq!(report(&[instance.scrape("a")]).severity(), severity);
}

#[test]
fn a_brief_spike_in_a_clean_hour_does_not_page() {
    let instance = Instance::new("entry-1");
    instance.record(Millis::from_secs(1800), 10_000, 0);
    instance.record(Millis::from_secs(60), 80, 20);
    assert_eq!(report(&[instance.scrape("a")]).severity(), Severity::Fine);
}

/// The error budget is that of the fleet, so the counts of all instances must be summed.
#[test]
fn instances_are_summed() {
    let clean = Instance::new("entry-1");
    let burning = Instance::new("entry-2");
    clean.record(Millis::from_secs(60), 100, 0);
    burning.record(Millis::from_secs(60), 60, 40);
    let report = report(&[clean.scrape("a"), burning.scrape("b")]);
    let burn = &report.classes[0].page.long;
    assert_eq!((burn.counts.attained, burn.counts.missed), (160, 40));
    assert!((burn.burn - 20.0).abs() < 1e-9, "{}", burn.burn);
    assert_eq!(report.instances, ["entry-1", "entry-2"]);
    assert_eq!(report.severity(), Severity::Page);
}

/// An instance can't be scraped, or its metrics are truncated or missing. Its requests are missing
/// from the figures, so the report must name it and must not be complete.
#[test_case(Err("timed out".into()) ; "no answer")]
#[test_case(Ok("crocushold_uptime_seconds 12".into()) ; "truncated text")]
#[test_case(Ok("crocushold_window_requests{class=\"chat\n".into()) ; "truncated line")]
#[test_case(Ok("up 1\n".into()) ; "another program")]
#[test_case(Ok(String::new()) ; "empty answer")]
fn an_unreadable_instance_is_reported(text: Result<String, String>) {
    let instance = Instance::new("entry-1");
    instance.record(Millis::from_secs(60), 100, 0);
    let unreadable = Scrape {
        address: "10.0.0.9:7201".into(),
        text,
    };
    let report = report(&[instance.scrape("a"), unreadable]);
    assert!(!report.is_complete());
    assert_eq!(report.instances, ["entry-1"]);
    assert!(
        report
            .to_string()
            .contains("finding: 10.0.0.9:7201: not read"),
        "{report}"
    );
}

/// The connection is lost in the middle of a line. 100 requests must not be read as 10.
#[test]
fn a_truncated_number_is_not_counted() {
    let instance = Instance::new("entry-1");
    instance.record(Millis::from_secs(60), 100, 0);
    let text = instance.metrics.render(DAY);
    let end = text.find("\ncrocushold_window_requests").expect("exposed");
    let line = text[end..].find(" 100\n").expect("attained") + end;
    let truncated = Scrape {
        address: "a".into(),
        text: Ok(text[..line + " 10".len()].to_owned()),
    };
    let report = report(&[truncated]);
    assert!(!report.is_complete());
    assert!(report.classes.is_empty(), "{report}");
}

/// An instance is scraped under two addresses. Its requests must be counted once.
#[test]
fn an_instance_is_counted_once() {
    let instance = Instance::new("entry-1");
    instance.record(Millis::from_secs(60), 99, 1);
    let report = report(&[instance.scrape("a"), instance.scrape("b")]);
    assert_eq!(report.classes[0].page.long.counts.total(), 100);
    assert_eq!(
        report.findings[0].problem,
        Problem::Duplicate("entry-1".into())
    );
    assert!(report.is_complete());
}

/// An instance is replaced under the same name, so its counters restart from zero. No rate may
/// become negative or wrap around, the report must say that the windows of the new instance are
/// partial, and the figures of the other instances must stay.
#[test]
fn a_replaced_instance_restarts_from_zero() {
    let old = Instance::new("entry-1");
    old.record(Millis::from_secs(60), 80, 20);
    let replaced = Instance::new("entry-1");
    let other = Instance::new("entry-2");
    other.record(Millis::from_secs(60), 99, 1);
    let uptime = Millis::from_secs(40);
    let report = report(&[replaced.scrape_at("a", uptime), other.scrape("b")]);
    assert_eq!(report.classes[0].page.long.counts.total(), 100);
    assert_eq!(report.findings[0].problem, Problem::RecentStart(uptime));
    assert!(report.is_complete());
}

/// Two instances run different revisions with different objectives. With the laxer objective the
/// report could miss that the error budget is being exhausted.
#[test]
fn the_stricter_objective_is_used() {
    let lax = Instance::with_objective("entry-1", 0.9);
    let strict = Instance::new("entry-2");
    lax.record(Millis::from_secs(60), 80, 20);
    let report = report(&[strict.scrape("a"), lax.scrape("b")]);
    assert_eq!(report.classes[0].objective, 0.99);
    assert_eq!(
        report.findings[0].problem,
        Problem::OtherObjective("chat".into())
    );
}

#[test]
fn an_objective_without_error_budget_has_a_finite_burn_rate() {
    let instance = Instance::with_objective("entry-1", 1.0);
    instance.record(Millis::from_secs(60), 99, 1);
    let report = report(&[instance.scrape("a")]);
    assert_eq!(report.severity(), Severity::Page);
    assert!(report.classes[0].page.long.burn.is_finite());
    assert!(
        serde_json::to_string(&report)
            .unwrap()
            .contains("\"severity\":\"page\"")
    );
}

/// With an objective of 90% the burn rate is at most 10, even if every request misses. A rule with
/// a fixed factor of 14.4 wouldn't fire in a total failure.
#[test_case(0.99, 0, Severity::Page; "strict, all missed")]
#[test_case(0.90, 0, Severity::Page; "lax, all missed")]
#[test_case(0.90, 49, Severity::Page; "lax, half missed")]
#[test_case(0.90, 70, Severity::Ticket; "lax, a third missed")]
#[test_case(0.90, 89, Severity::Fine; "lax, slightly over budget")]
#[test_case(0.50, 60, Severity::Fine; "half may miss")]
fn rules_can_fire_for_a_lax_objective(objective: f64, attained: u64, severity: Severity) {
    let instance = Instance::with_objective("entry-1", objective);
    instance.record(Millis::from_secs(60), attained, 100 - attained);
    let report = report(&[instance.scrape("a")]);
    assert_eq!(report.severity(), severity, "{report}");
}

#[test]
fn a_class_without_requests_is_fine() {
    let instance = Instance::new("entry-1");
    let report = report(&[instance.scrape("a")]);
    assert_eq!(report.severity(), Severity::Fine);
    assert_eq!(report.classes[0].page.short.burn, 0.0);
}

#[test]
fn columns_are_aligned() {
    let instance = Instance::new("entry-1");
    instance.record(Millis::from_secs(60), 80, 20);
    let text = report(&[instance.scrape("a")]).to_string();
    let mut lines = text.lines();
    let header = lines.next().expect("header");
    let row = lines.next().expect("row");
    assert_eq!(header.find("STATE"), row.find("page"), "{text}");
    let end = |line: &str, word: &str| line.find(word).map(|at| at + word.len());
    assert_eq!(end(header, "MISSED  "), end(row, " 20  "), "{text}");
}

/// The name of a class contains an escape sequence that could overwrite the operator's terminal.
#[test]
fn names_are_shown_without_control_characters() {
    let metrics = Metrics::default();
    let settings = ClassSettings {
        name: "chat\u{1b}[2J".into(),
        ..ClassSettings::default()
    };
    metrics.class(&settings);
    let scrape = Scrape {
        address: "a".into(),
        text: Ok(metrics.render(DAY)),
    };
    let text = report(&[scrape]).to_string();
    assert!(text.contains("chat"));
    assert!(!text.contains('\u{1b}'), "{text:?}");
}
