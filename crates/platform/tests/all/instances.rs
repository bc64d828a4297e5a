//! Tests of the instance list poller.

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

/// Applying an empty list would take every backend server out of use at once.
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

/// If a list from a stale replica were applied, a server that left would get new work again.
#[test]
fn an_older_list_is_reported_and_not_applied() {
    let mut driver = running();
    driver.platform.list = list(6, 5);
    driver.run(secs(30));
    assert_eq!(driver.lists().len(), 1);
    let (offered, held) = (6, 7);
    assert_eq!(driver.reports(), [&Report::OlderRevision { offered, held }]);
}

/// While the platform hangs, each call ends at its deadline and calls back off. The list is read
/// within three seconds after the platform recovers.
#[test]
fn polling_recovers_from_a_hung_platform() {
    let mut driver = running();
    driver.platform.mode = Mode::Hung;
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

/// After a suspension of a minute the list is unconfirmed until it has been read again.
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

/// The process is suspended for an hour during a poll, and the answer, an hour old, is left in the
/// socket buffer. If it were applied after the wake-up, a server that left since would get work.
#[test]
fn a_late_wake_drops_an_answer_from_before() {
    let mut driver = running();
    driver.platform.mode = Mode::Hung;
    driver.run(Millis(500));
    let call = driver.pending[0].id;
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

/// The process is suspended during a backoff. After the wake-up it polls immediately.
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

/// A call before the end of `Retry-After` would be rejected again and would use up read budget that
/// the other readers share.
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

/// A wrong `Retry-After` of a year must not stop the poller until it is restarted.
#[test]
fn an_excessive_retry_after_is_bounded() {
    let mut driver = running();
    driver.platform.mode = Mode::Throttling(Some(secs(365 * 24 * 3600)));
    driver.run(secs(2));
    driver.platform.mode = Mode::Up;
    driver.platform.list = list(8, 1);
    driver.run(secs(62));
    assert_eq!(driver.lists().len(), 2);
}

/// A malformed entry must not make the other servers unusable.
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
