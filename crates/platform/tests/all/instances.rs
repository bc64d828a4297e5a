//! The instance list's poller.

use crocushold_base::Millis;
use crocushold_platform::Answer;
use crocushold_platform::Event;
use crocushold_platform::Failure;
use crocushold_platform::Report;
use crocushold_platform::wire::InstanceList;

use crate::driver::Driver;
use crate::driver::poller;
use crate::driver::secs;
use crate::fake::Mode;
use crate::fake::Platform;
use crate::fake::list;

fn running() -> Driver<crocushold_platform::InstancePoller> {
    let mut driver = poller(Platform::new(list(7, 3)));
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
    driver.feed(Event::Tick);
    assert_eq!(driver.machine.confirmed_at(), None);
    assert_eq!(driver.started.last().expect("a call").at, driver.now);
    driver.run(Millis(100));
    assert!(driver.machine.confirmed_at().is_some());
}

/// The process is stopped for an hour while a poll waits; the answer, an hour old, lies in the socket.
/// On waking it must not be taken for the present list: a server that left since would get work.
#[test]
fn a_late_wake_drops_the_answer_that_waited() {
    let mut driver = running();
    driver.platform.mode = Mode::Frozen;
    driver.run(Millis(500));
    let call = driver.waiting[0].id;
    driver.sleep(secs(3600));
    let answer = Answer::Instances(list(8, 5));
    driver.feed(Event::Answered { call, answer });
    assert_eq!(driver.machine.confirmed_at(), None);
    assert_eq!(driver.lists().len(), 1);
    driver.platform.mode = Mode::Up;
    driver.platform.list = list(9, 2);
    driver.run(secs(1));
    assert_eq!(driver.lists().last().expect("published").revision, 9);
}

/// The process was backing off when it was stopped: on waking it reads at once all the same.
#[test]
fn a_late_wake_ends_a_backoff() {
    let mut driver = running();
    driver.platform.mode = Mode::Down;
    driver.run(secs(60));
    driver.platform.mode = Mode::Up;
    driver.sleep(secs(100));
    driver.feed(Event::Tick);
    assert_eq!(driver.started.last().expect("a call").at, driver.now);
}

/// A 429 with `Retry-After: 20`: a call before that would be refused again and counts against what
/// the other readers get.
#[test]
fn retry_after_is_honoured() {
    let mut driver = running();
    driver.platform.mode = Mode::Throttling(Some(secs(20)));
    driver.run(secs(2));
    driver.platform.mode = Mode::Up;
    let throttled = driver.started.last().expect("a call").at;
    driver.run(secs(60));
    let next = driver.started.iter().find(|s| s.at > throttled);
    let pause = next.expect("a call").at.since(throttled);
    assert!(
        pause >= secs(20) && pause <= secs(21),
        "next call after {pause}"
    );
}

/// A mistaken `Retry-After` of a year must not silence the poller until it is restarted.
#[test]
fn an_absurd_retry_after_is_bounded() {
    let mut driver = running();
    driver.platform.mode = Mode::Throttling(Some(secs(365 * 24 * 3600)));
    driver.run(secs(2));
    driver.platform.mode = Mode::Up;
    driver.platform.list = list(8, 1);
    driver.run(secs(62));
    assert_eq!(driver.lists().len(), 2);
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
        [Report::MalformedEntries { count: 1, .. }]
    ));
}
