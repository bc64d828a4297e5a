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

/// An instance with the class `chat` at an objective of 99%.
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

    /// Records requests that ended this long before [`DAY`].
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

/// A burst of misses an hour ago is over (the short window is clean); a blip now doesn't matter yet
/// (the long window is). Only misses in both may page.
#[test_case(Millis::from_secs(1800), Millis::from_secs(1800), Severity::Fine; "over already")]
#[test_case(Millis::from_secs(5 * 3600), Millis::from_secs(5 * 3600), Severity::Fine; "long over")]
#[test_case(Millis::from_secs(60), Millis::from_secs(1800), Severity::Page; "went on and goes on")]
#[test_case(Millis::from_secs(1200), Millis::from_secs(5 * 3600), Severity::Ticket; "slow burn")]
fn both_windows_must_burn(recent: Millis, earlier: Millis, severity: Severity) {
    let instance = Instance::new("entry-1");
    instance.record(recent, 80, 20);
    instance.record(earlier, 80, 20);
    assert_eq!(report(&[instance.scrape("a")]).severity(), severity);
}

#[test]
fn a_blip_in_a_clean_hour_does_not_page() {
    let instance = Instance::new("entry-1");
    instance.record(Millis::from_secs(1800), 10_000, 0);
    instance.record(Millis::from_secs(60), 80, 20);
    assert_eq!(report(&[instance.scrape("a")]).severity(), Severity::Fine);
}

/// Each instance alone sees too little; the fleet's budget is spent over all of them.
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

/// One of three instances is frozen and doesn't answer. Its requests are missing from the figures,
/// so the report must name it and must not pass as complete.
#[test_case(Err("timed out".into()) ; "no answer")]
#[test_case(Ok("crocushold_uptime_seconds 12".into()) ; "text cut short")]
#[test_case(Ok("crocushold_window_requests{class=\"chat\n".into()) ; "line cut short")]
#[test_case(Ok("up 1\n".into()) ; "another program")]
#[test_case(Ok(String::new()) ; "empty answer")]
fn an_unread_instance_is_named(text: Result<String, String>) {
    let instance = Instance::new("entry-1");
    instance.record(Millis::from_secs(60), 100, 0);
    let unread = Scrape {
        address: "10.0.0.9:7201".into(),
        text,
    };
    let report = report(&[instance.scrape("a"), unread]);
    assert!(!report.is_complete());
    assert_eq!(report.instances, ["entry-1"]);
    assert!(
        report
            .to_string()
            .contains("finding: 10.0.0.9:7201: not read"),
        "{report}"
    );
}

/// The connection breaks inside the last line of an answer: 100 requests must not be read as 10.
#[test]
fn a_number_cut_short_is_not_counted() {
    let instance = Instance::new("entry-1");
    instance.record(Millis::from_secs(60), 100, 0);
    let whole = instance.metrics.render(DAY);
    let end = whole.find("\ncrocushold_window_requests").expect("exposed");
    let line = whole[end..].find(" 100\n").expect("attained") + end;
    let cut = Scrape {
        address: "a".into(),
        text: Ok(whole[..line + " 10".len()].to_owned()),
    };
    let report = report(&[cut]);
    assert!(!report.is_complete());
    assert!(report.classes.is_empty(), "{report}");
}

/// An address is given twice, or an instance listens on two: its requests must count once.
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

/// An instance is replaced under its old name: its counters start from zero. No rate may go
/// negative or wrap, the young windows are said to be partial, and the others' figures stand.
#[test]
fn a_replaced_instance_starts_anew() {
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

/// Two instances run different revisions, with different objectives: a report by the laxer one could
/// call a burning class fine.
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
fn an_objective_without_budget_stays_finite() {
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

/// Every request of a class misses. At an objective of 90% that burns ten times, and no more is
/// possible: a rule of 14.4 times would stay silent through a total failure.
#[test_case(0.99, 0, Severity::Page; "strict, all missed")]
#[test_case(0.90, 0, Severity::Page; "lax, all missed")]
#[test_case(0.90, 49, Severity::Page; "lax, half missed")]
#[test_case(0.90, 70, Severity::Ticket; "lax, a third missed")]
#[test_case(0.90, 89, Severity::Fine; "lax, slightly over budget")]
#[test_case(0.50, 60, Severity::Fine; "half may miss")]
fn a_lax_objective_can_fire(objective: f64, attained: u64, severity: Severity) {
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

/// A class's name holds an escape sequence that would rewrite the operator's terminal.
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
