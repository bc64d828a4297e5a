//! A configuration that is unavailable, stale, goes back, is rejected, or changes during a request.

use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocushold_config::with_previous;
use crocushold_standins::EngineCommand;
use crocushold_standins::PlatformCommand;
use test_case::test_case;

use crate::support::Call;
use crate::support::Entry;
use crate::support::Fleet;
use crate::support::RawCaller;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::spawn_call;
use crate::support::wait;
use crate::support::wait_long;

/// Time within which a change is active.
const PROPAGATION_BOUND: Duration = Duration::from_secs(5);

/// How long the instance is observed for an unwanted change of its configuration.
const OBSERVATION: Duration = Duration::from_secs(3);

/// Adds a class of model calls that only a newer revision has.
fn with_class(text: &str, name: &str) -> String {
    let class = format!(
        "\n[class {name}]\nservice = fleet\npriority = 3\nfirst-token = 2 s\nidempotent = yes\n"
    );
    let accounts = text.replace(
        "classes = chat, lookup, confirm",
        &format!("classes = chat, lookup, confirm, {name}"),
    );
    accounts + &class
}

/// Returns whether requests of a class are served.
fn serves(entry: &Entry, class: &str) -> bool {
    let request = Call::chat(true, 1).header("x-class", class);
    call(entry.listen, &request).is_some_and(|answer| answer.status == 200)
}

/// Publishes a class and waits until it is served.
fn activate(site: &Site, entry: &Entry, class: &str) {
    site.publish(|text| with_class(text, class));
    let start = Instant::now();
    entry.wait_active(site.platform.stats().revision);
    assert!(start.elapsed() < PROPAGATION_BOUND, "{:?}", start.elapsed());
    assert!(serves(entry, class));
}

/// Checks for a while that a class stays active.
fn assert_stays(entry: &Entry, class: &str) {
    let start = Instant::now();
    while start.elapsed() < OBSERVATION {
        assert!(serves(entry, class), "the change was reverted");
        thread::sleep(Duration::from_millis(50));
    }
}

// The platform is down or hangs under traffic. Requests are served with the current configuration,
// and a change that is published after the outage is active within seconds.
#[test_case(|on| PlatformCommand::Down { on }; "down")]
#[test_case(|on| PlatformCommand::Frozen { on }; "frozen")]
fn an_outage_of_the_platform_stops_nothing(fault: fn(bool) -> PlatformCommand) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    activate(&site, &entry, "extra");
    site.command_platform(fault(true));
    assert_stays(&entry, "extra");
    site.command_platform(fault(false));
    let start = Instant::now();
    site.publish(|text| with_class(text, "later"));
    entry.wait_active(site.platform.stats().revision);
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "{:?}",
        start.elapsed()
    );
    assert!(serves(&entry, "later"));
}

// A replica of the platform returns an older revision, or the platform goes back to one. The
// accepted revision stays active: a caller that the newer configuration admits is not refused
// again.
#[test_case(PlatformCommand::Stale { revision: Some(1) }; "stale")]
#[test_case(PlatformCommand::GoBack { revision: 1, reuse: false }; "going back")]
#[test_case(PlatformCommand::GoBack { revision: 1, reuse: true }; "going back with its numbers")]
fn an_older_revision_reverts_nothing(fault: PlatformCommand) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    activate(&site, &entry, "extra");
    site.command_platform(fault);
    // A watch asks for newer revisions, so it returns the older index only when its timeout of half
    // a minute expires.
    let before = site.platform.stats().watches;
    wait_long("the older revision was read", || {
        site.platform.stats().watches > before
    });
    assert_stays(&entry, "extra");
    assert_eq!(entry.status().config.revision, 2);
}

// The configuration removes a class while an answer of that class streams. The answer completes,
// and new requests of the class are refused.
#[test]
fn a_change_cuts_no_stream() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    activate(&site, &entry, "extra");
    let request = Call::chat(true, 300)
        .marked("mine")
        .header("x-class", "extra");
    let mut caller = RawCaller::send(entry.listen, &request);
    assert!(caller.read_until("mine 1 "));
    site.publish(str::to_owned);
    entry.wait_active(3);
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(caller.text().contains("mine 299 "));
    assert!(!serves(&entry, "extra"));
    entry.wait_idle();
}

// The configuration removes a server while it streams an answer. The answer completes, and later
// requests go to the remaining servers.
#[test]
fn a_removed_server_finishes_and_gets_nothing_new() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 300).marked("mine"));
    assert!(caller.read_until("mine 1 "));
    let runner = site.runner("mine");
    site.publish(|text| without_server(text, runner));
    entry.wait_active(2);
    let before = site.engines[runner].stats().started;
    // More than the other server has slots for.
    let calls: Vec<_> = (0..12)
        .map(|_| spawn_call(entry.listen, &Call::chat(true, 10)))
        .collect();
    for answer in calls {
        assert!(answer.join().unwrap().unwrap().whole);
    }
    assert_eq!(site.engines[runner].stats().started, before, "new work");
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(caller.text().contains("mine 299 "));
    entry.wait_idle();
}

/// Returns the configuration without one of the engines.
fn without_server(text: &str, number: usize) -> String {
    let head = format!("[server fleet/runner-{number}]\n");
    let start = text.find(&head).unwrap();
    let length = text[start..].find("\n\n").unwrap();
    let text = format!("{}{}", &text[..start], &text[start + length..]);
    text.replace("servers = 2", "servers = 1")
}

// The configuration removes a class while a request of it is queued. The request never runs, and
// its caller is told so at once instead of waiting in vain.
#[test]
fn a_queued_request_of_a_removed_class_is_told_not_run() {
    let site = Site::start(&SiteSettings {
        engines: 1,
        concurrency: 1,
        ..SiteSettings::default()
    });
    let entry = site.entry("entry-1");
    activate(&site, &entry, "extra");
    let first = RawCaller::send(entry.listen, &Call::batch(5000).marked("first"));
    wait("the slot is taken", || site.runs("first") == 1);
    let request = Call::chat(true, 2)
        .marked("late")
        .header("x-class", "extra");
    let queued = spawn_call(entry.listen, &request);
    wait("it is queued", || entry.queued("extra") == 1);
    site.publish(str::to_owned);
    let answer = queued.join().unwrap().unwrap();
    assert!(answer.status >= 400);
    assert_eq!(answer.header("x-request-ran"), "no", "{}", answer.body);
    drop(first);
    entry.wait_idle();
    assert_eq!(site.runs("late"), 0);
}

// A configuration that can't be accepted is published, followed by the previous one as its
// fallback. The previous one stays active, callers notice nothing, and the next valid configuration
// is accepted.
#[test]
fn a_rejected_text_changes_nothing() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    activate(&site, &entry, "extra");
    site.publish(|text| {
        let before = with_class(text, "extra");
        let wrong = before.replace("kind = model", "kind = nonsense");
        with_previous("team", &wrong, &before).unwrap()
    });
    wait("the finding shows", || {
        entry
            .status()
            .config
            .parts
            .iter()
            .any(|part| part.findings > 0)
    });
    assert!(serves(&entry, "extra"));
    activate(&site, &entry, "later");
}

/// Returns the age in seconds of the last confirmation, from the metrics.
fn confirmed_age(entry: &Entry) -> f64 {
    let page = entry.page("/metrics").unwrap();
    let mut lines = page.body.lines();
    let line = lines.find_map(|line| line.strip_prefix("crocushold_config_confirmed_age_seconds "));
    line.expect("the metric is there").parse().unwrap()
}

/// Returns the output of `crocushold status`.
fn shown(entry: &Entry, json: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_crocushold"))
        .arg("status")
        .arg(format!("--instance={}", entry.operator))
        .args(json)
        .output();
    String::from_utf8(output.unwrap().stdout).unwrap()
}

// The platform hangs, is down, or returns the previous revision, while all requests are served as
// usual. Only the age of the last confirmation tells the operator: it grows in the status document,
// in the command's output and in the metrics, and falls once the platform responds again.
#[test_case(PlatformCommand::Frozen { on: true }, PlatformCommand::Frozen { on: false }; "frozen")]
#[test_case(PlatformCommand::Down { on: true }, PlatformCommand::Down { on: false }; "down")]
#[test_case(PlatformCommand::Stale { revision: Some(1) }, PlatformCommand::Stale { revision: None }; "stale")]
fn an_outage_is_shown_to_the_operator(begin: PlatformCommand, end: PlatformCommand) {
    const OLD: u64 = 8_000;
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    activate(&site, &entry, "extra");
    let age = || entry.status().config.confirmed_ms.unwrap();
    assert!(age() < OLD && confirmed_age(&entry) < 8.0);
    site.command_platform(begin);
    wait_long("the confirmation grows old", || age() > OLD);
    assert!(confirmed_age(&entry) > 8.0);
    let line = shown(&entry, &[]);
    assert!(line.contains("newest known 2, last confirmed "), "{line}");
    let json: serde_json::Value = serde_json::from_str(&shown(&entry, &["--json"])).unwrap();
    let old = &json[0]["status"]["config"]["confirmed-ms"];
    assert!(old.as_u64().unwrap() > OLD, "{json}");
    assert!(serves(&entry, "extra"));
    site.command_platform(end);
    wait_long("it is confirmed anew", || age() < OLD);
    assert!(confirmed_age(&entry) < 8.0);
}

// An instance starts while the platform is down and has no peers. It reports that its configuration
// was never confirmed rather than "0 s ago"; an alert on old confirmations must fire too.
#[test]
fn what_was_never_confirmed_is_shown_as_such() {
    let site = Site::start(&SiteSettings::default());
    site.command_platform(PlatformCommand::Down { on: true });
    let entry = Entry::start(&site.args("entry-1"));
    assert_eq!(entry.status().config.confirmed_ms, None);
    assert!(confirmed_age(&entry).is_infinite());
    let line = shown(&entry, &[]);
    assert!(line.contains("never confirmed by the platform"), "{line}");
    site.command_platform(PlatformCommand::Down { on: false });
    entry.wait_ready();
    assert!(entry.status().config.confirmed_ms.is_some());
    assert!(confirmed_age(&entry).is_finite());
}

// The platform's replica falls behind, or the platform goes back, while one request of a class that
// only the newer configuration has streams and another one is queued. An instance that starts now
// reads the older configuration and tells its peer of it. Both requests belong to the accepted
// revision: the stream completes, and the queued request is served instead of being refused for an
// unknown class.
#[test_case(PlatformCommand::Stale { revision: Some(1) }; "stale")]
#[test_case(PlatformCommand::GoBack { revision: 1, reuse: false }; "going back")]
fn an_older_revision_cuts_and_refuses_nobody(fault: PlatformCommand) {
    let site = Site::start(&SiteSettings {
        engines: 1,
        concurrency: 2,
        ..SiteSettings::default()
    });
    let mut fleet = Fleet::start(&site, 2);
    site.publish(|text| {
        with_class(text, "extra").replace("first-token = 2 s", "first-token = 60 s")
    });
    fleet.wait_active(2);
    fleet.kill(1);
    let entry = fleet.entry(0);
    let request = Call::chat(true, 20).header("x-class", "extra");
    let mut callers: Vec<_> = (0..6)
        .map(|n| RawCaller::send(entry.listen, &request.clone().marked(&format!("m{n}"))))
        .collect();
    wait("some stream and some are queued", || {
        site.held() >= 1 && entry.queued("extra") >= 1
    });
    site.command_engine(0, EngineCommand::Slow { factor: 100.0 });
    let before = site.platform.stats().indexes;
    site.command_platform(fault);
    fleet.spawn(1);
    fleet.entry(1).wait_ready();
    assert!(site.platform.stats().indexes > before, "it wasn't read");
    assert_eq!(fleet.entry(1).status().config.revision, 2);
    let entry = fleet.entry(0);
    assert!(site.held() >= 1 && entry.queued("extra") >= 1);
    site.command_engine(0, EngineCommand::Slow { factor: 1.0 });
    for (number, caller) in callers.iter_mut().enumerate() {
        assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
        assert!(caller.text().contains(&format!("m{number} 19 ")));
    }
    assert_eq!(entry.status().config.revision, 2);
    entry.wait_idle();
}

// The platform is down or hangs while one request streams and another is queued. Neither depends on
// it: the stream completes, and the queued request is served.
#[test_case(PlatformCommand::Down { on: true }; "down")]
#[test_case(PlatformCommand::Frozen { on: true }; "frozen")]
fn an_outage_of_the_platform_cuts_and_refuses_nobody(fault: PlatformCommand) {
    let site = Site::start(&SiteSettings {
        engines: 1,
        concurrency: 1,
        ..SiteSettings::default()
    });
    let entry = site.entry("entry-1");
    let mut stream = RawCaller::send(entry.listen, &Call::chat(true, 100).marked("mine"));
    assert!(stream.read_until("mine 1 "));
    let queued = spawn_call(entry.listen, &Call::batch(2));
    wait("it is queued", || entry.queued("batch") == 1);
    site.command_platform(fault);
    assert!(stream.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(stream.text().contains("mine 99 "));
    let answer = queued.join().unwrap().unwrap();
    assert!(answer.status == 200 && answer.whole, "{}", answer.body);
    entry.wait_idle();
}
