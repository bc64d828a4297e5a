//! Recording and rendering.

use crocushold_base::Millis;
use crocushold_metrics::ClassSettings;
use crocushold_metrics::Exposition;
use crocushold_metrics::InstanceInfo;
use crocushold_metrics::Metrics;
use crocushold_metrics::RefusalReason;
use crocushold_metrics::RequestEnd;
use crocushold_metrics::RequestRecord;
use crocushold_metrics::Sample;
use crocushold_metrics::TOP_ACCOUNTS;
use crocushold_metrics::Verdict;
use crocushold_metrics::WasteCause;
use test_case::test_case;

const NOW: Millis = Millis::from_secs(60);

fn chat() -> ClassSettings {
    ClassSettings {
        name: "chat".into(),
        first_token: Some(Millis(400)),
        token_gap: Some(Millis(80)),
        whole: None,
        objective: 0.99,
    }
}

fn answer(first_token: u64, token_gap: u64) -> RequestRecord {
    RequestRecord {
        first_token: Some(Millis(first_token)),
        token_gap: Some(Millis(token_gap)),
        whole: Millis(5_000),
        tokens: 50,
        ..RequestRecord::default()
    }
}

fn scrape(metrics: &Metrics) -> Exposition {
    Exposition::parse(&metrics.render(NOW)).expect("own text is readable")
}

fn sum(exposition: &Exposition, name: &str, matches: impl Fn(&Sample) -> bool) -> f64 {
    let samples = exposition.family(name).filter(|s| matches(s));
    samples.map(|s| s.value).sum()
}

#[test_case(RequestEnd::Completed, 400, 80, Verdict::Attained; "at the targets")]
#[test_case(RequestEnd::Completed, 401, 80, Verdict::Missed; "first token late")]
#[test_case(RequestEnd::Completed, 400, 81, Verdict::Missed; "tokens too far apart")]
#[test_case(RequestEnd::Cut, 1, 1, Verdict::Missed; "cut")]
#[test_case(RequestEnd::Unknown, 1, 1, Verdict::Missed; "answer lost")]
#[test_case(RequestEnd::Cancelled, 1, 1, Verdict::Excluded; "caller cancelled in time")]
#[test_case(RequestEnd::Cancelled, 900, 1, Verdict::Missed; "caller cancelled late")]
#[test_case(RequestEnd::Refused(RefusalReason::Overload), 1, 1, Verdict::Missed; "shed")]
#[test_case(RequestEnd::Refused(RefusalReason::AccountLimit), 1, 1, Verdict::Excluded; "own limit")]
fn a_request_is_evaluated(end: RequestEnd, first: u64, gap: u64, verdict: Verdict) {
    let record = RequestRecord {
        end,
        ..answer(first, gap)
    };
    assert_eq!(chat().evaluate(&record), verdict);
}

#[test]
fn a_late_cancellation_before_any_token_counts_as_missed() {
    let record = RequestRecord {
        end: RequestEnd::Cancelled,
        whole: Millis(401),
        ..RequestRecord::default()
    };
    assert_eq!(chat().evaluate(&record), Verdict::Missed);
}

#[test]
fn ends_goodput_and_waste_are_counted_by_class() {
    let metrics = Metrics::default();
    let class = metrics.class(&chat());
    class.finish(&answer(100, 20), NOW);
    class.finish(&answer(900, 20), NOW);
    let refused = RequestRecord {
        end: RequestEnd::Refused(RefusalReason::QueueFull),
        ..RequestRecord::default()
    };
    class.finish(&refused, NOW);
    class.wasted(WasteCause::Hedge, 7, Millis(1_500));
    let text = scrape(&metrics);
    let of = |name: &str, label: &str, value: &str| sum(&text, name, |s| s.label(label) == value);
    assert_eq!(of("crocushold_requests_total", "end", "completed"), 2.0);
    assert_eq!(of("crocushold_requests_total", "reason", "queue-full"), 1.0);
    assert_eq!(of("crocushold_attained_total", "class", "chat"), 1.0);
    assert_eq!(of("crocushold_missed_total", "class", "chat"), 2.0);
    assert_eq!(
        of("crocushold_goodput_tokens_total", "class", "chat"),
        100.0
    );
    assert_eq!(of("crocushold_wasted_tokens_total", "cause", "hedge"), 7.0);
    assert_eq!(of("crocushold_wasted_seconds_total", "cause", "hedge"), 1.5);
    assert_eq!(of("crocushold_window_requests", "window", "5m"), 3.0);
}

#[test]
fn a_bucket_bound_equals_the_target() {
    let metrics = Metrics::default();
    let class = metrics.class(&chat());
    class.observe_first_token(Millis(400));
    class.observe_first_token(Millis(401));
    let text = scrape(&metrics);
    let within = |s: &Sample| s.label("le") == "0.4";
    assert_eq!(
        sum(&text, "crocushold_first_token_seconds_bucket", within),
        1.0
    );
}

/// The task of a request is dropped while it waits because its caller disconnected. The gauges must
/// be decremented; otherwise the queue would appear to grow forever.
#[test]
fn a_dropped_request_decrements_the_gauges() {
    let metrics = Metrics::default();
    let class = metrics.class(&chat());
    let queued = class.queued();
    let running = class.running();
    assert_eq!((class.queue_length(), class.running_count()), (1, 1));
    drop(queued);
    drop(running);
    assert_eq!((class.queue_length(), class.running_count()), (0, 0));
}

/// A team removes a class while a request of it is running. The handle of the request must stay
/// usable, and the series of the class must be removed; otherwise the scrape would grow with every
/// removed class.
#[test]
fn a_removed_class_loses_its_series() {
    let metrics = Metrics::default();
    let kept = ClassSettings {
        name: "sheets".into(),
        ..ClassSettings::default()
    };
    let handle = metrics.class(&chat());
    metrics.class(&kept);
    metrics.retain_classes(["sheets"]);
    handle.finish(&answer(1, 1), NOW);
    let text = metrics.render(NOW);
    assert!(!text.contains("class=\"chat\""), "{text}");
    assert!(text.contains("class=\"sheets\""));
    metrics.class(&chat());
    let again = scrape(&metrics);
    assert_eq!(
        sum(&again, "crocushold_attained_total", |s| s.label("class")
            == "chat"),
        0.0
    );
}

/// A team tightens a target. Counters and windows must be kept, because a reset would hide the burn
/// rate that the team reacts to. The buckets must move to the new target.
#[test]
fn a_changed_target_keeps_counts_and_moves_buckets() {
    let metrics = Metrics::default();
    metrics.class(&chat()).finish(&answer(300, 1), NOW);
    let tighter = ClassSettings {
        first_token: Some(Millis(200)),
        ..chat()
    };
    let class = metrics.class(&tighter);
    assert_eq!(class.finish(&answer(300, 1), NOW), Verdict::Missed);
    let text = scrape(&metrics);
    assert_eq!(sum(&text, "crocushold_attained_total", |_| true), 1.0);
    assert_eq!(
        sum(&text, "crocushold_window_requests", |s| s.label("window")
            == "1h"),
        2.0
    );
    let bounds = text.family("crocushold_first_token_seconds_bucket");
    let bounds: Vec<&str> = bounds.map(|s| s.label("le")).collect();
    assert!(bounds.contains(&"0.2"));
    assert_eq!(bounds.iter().filter(|le| **le == "+Inf").count(), 1);
}

/// 3,700 client accounts must not become 3,700 series.
#[test]
fn accounts_are_bounded() {
    let metrics = Metrics::default();
    for round in 0..3 {
        for account in 0..3_700u64 {
            metrics.add_account_tokens(&format!("account-{account}"), 1 + round);
        }
        metrics.add_account_tokens("portal", 1_000_000);
    }
    let text = scrape(&metrics);
    let family = "crocushold_top_account_tokens";
    assert_eq!(text.family(family).count(), TOP_ACCOUNTS);
    let portal = sum(&text, family, |s| s.label("account") == "portal");
    // The sketch overestimates by at most one hundredth of all 3,022,200 tokens.
    assert!((3_000_000.0..=3_030_222.0).contains(&portal), "{portal}");
}

#[test]
fn escaped_names_are_parsed_back() {
    let info = InstanceInfo {
        instance: "a\"b\\c\nd,e}".into(),
        ..InstanceInfo::default()
    };
    let text = scrape(&Metrics::new(&info));
    let mut infos = text.family("crocushold_instance_info");
    let sample = infos.next().expect("always exposed");
    assert_eq!(sample.label("instance"), info.instance);
}

#[test]
fn process_usage_is_exposed() {
    let text = Metrics::default().render(NOW);
    assert!(text.contains("\nprocess_cpu_seconds_total "));
    let resident = text
        .lines()
        .find(|l| l.starts_with("process_resident_memory_bytes "));
    let value = resident
        .and_then(|l| l.split(' ').next_back())
        .expect("exposed");
    assert!(value.parse::<u64>().unwrap() > 1_000_000);
}
