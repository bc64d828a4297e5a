//! The instance list's poller.

use crocushold_base::Millis;
use crocushold_platform::Failure;
use crocushold_platform::Report;
use crocushold_platform::wire::InstanceList;

use crate::driver::Driver;
use crate::driver::poller;
use crate::driver::secs;
use crate::fake::Mode;
use crate::fake::Platform;

fn list(revision: u64, count: usize) -> InstanceList {
    let entry = |n| {
        format!(
            r#"{{"id": "runner-{n}", "role": "server", "service": "model-fleet", "zone": "stgo-a",
               "address": "10.0.0.{n}:8000", "state": "live"}}"#
        )
    };
    let entries: Vec<String> = (1..=count).map(entry).collect();
    let entries = entries.join(",");
    let text = format!(r#"{{"revision": {revision}, "instances": [{entries}]}}"#);
    InstanceList::parse(&text).expect("readable")
}

fn running() -> Driver<crocushold_platform::InstancePoller> {
    let mut platform = Platform::with_teams(&[]);
    platform.list = list(7, 3);
    let mut driver = poller(platform);
    driver.run(secs(5));
    driver
}

#[test]
fn a_list_is_polled_every_second_and_published_when_it_changes() {
    let mut driver = running();
    assert_eq!(driver.lists().len(), 1);
    let from = driver.now;
    driver.run(secs(60));
    let calls = driver.calls_since(from);
    assert!(
        (60..=61).contains(&calls),
        "{calls} calls in 60 s, both ends counted"
    );
    driver.platform.list = list(8, 2);
    driver.run(secs(2));
    assert_eq!(driver.lists().last().expect("published").revision, 8);
}

/// The list comes back empty. Applying it would take every backend server out of use at once.
#[test]
fn an_empty_list_is_reported_and_not_applied() {
    let mut driver = running();
    driver.platform.list = list(8, 0);
    driver.run(secs(30));
    assert_eq!(driver.lists().len(), 1);
    assert_eq!(driver.reports(), [&Report::EmptyList]);
    driver.platform.list = list(9, 1);
    driver.run(secs(2));
    assert_eq!(driver.lists().len(), 2);
}

/// A stale replica answers: a server that left would get new work again.
#[test]
fn an_older_list_is_reported_and_not_applied() {
    let mut driver = running();
    driver.platform.list = list(6, 5);
    driver.run(secs(30));
    assert_eq!(driver.lists().len(), 1);
    let (offered, held) = (6, 7);
    assert_eq!(driver.reports(), [&Report::OlderRevision { offered, held }]);
}

/// The platform freezes: each call ends at its deadline, calls grow seldom, and within three seconds
/// of its return the list is read.
#[test]
fn a_frozen_platform_is_outlived() {
    let mut driver = running();
    driver.platform.mode = Mode::Frozen;
    let from = driver.now;
    driver.run(secs(300));
    let calls = driver.calls_since(from);
    assert!((90..=160).contains(&calls), "{calls} calls in 300 s");
    let failure = Failure::Timeout;
    assert_eq!(driver.reports(), [&Report::Unreachable { failure }]);
    driver.platform.mode = Mode::Up;
    driver.platform.list = list(8, 1);
    driver.run(secs(3));
    assert_eq!(driver.lists().len(), 2);
}

/// The process was stopped for a minute: what it knows is unconfirmed until it has read again.
#[test]
fn a_late_wake_reads_again() {
    let mut driver = running();
    driver.sleep(secs(60));
    driver.feed(crocushold_platform::Event::Tick);
    assert_eq!(driver.machine.confirmed_at(), None);
    assert_eq!(driver.started.last().expect("a call").at, driver.now);
    driver.run(Millis(100));
    assert!(driver.machine.confirmed_at().is_some());
}

/// One entry is malformed; the other servers must stay usable.
#[test]
fn a_malformed_entry_is_left_out_and_reported() {
    let mut driver = running();
    let text = r#"{"revision": 9, "instances": [
        {"id": "a", "role": "server", "address": "nowhere", "state": "live"},
        {"id": "b", "role": "server", "address": "10.0.0.2:80", "state": "live"}]}"#;
    driver.platform.list = InstanceList::parse(text).expect("readable");
    driver.run(secs(2));
    let lists = driver.lists();
    assert_eq!(lists.last().expect("published").instances[0].id, "b");
    assert!(matches!(
        driver.reports()[..],
        [Report::Misfits { count: 1, .. }]
    ));
}
