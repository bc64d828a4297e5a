//! A platform that is down, frozen or throttling, and a process that wakes late.

use crocushold_base::Millis;
use crocushold_platform::Answer;
use crocushold_platform::Call;
use crocushold_platform::Event;
use crocushold_platform::Failure;
use crocushold_platform::Report;
use test_case::test_case;

use crate::driver::reader;
use crate::driver::secs;
use crate::fake::Mode;
use crate::fake::Platform;

fn platform() -> Platform {
    Platform::with_teams(&["clara", "moravia"])
}

/// The platform fails in some way for ten minutes. The reader keeps what it has, calls seldom, says
/// so once, and has the newest text in force within five seconds of the platform's return.
#[test_case(Mode::Down; "down")]
#[test_case(Mode::Frozen; "frozen")]
#[test_case(Mode::Throttling(None); "throttling")]
fn an_outage_is_outlived(mode: Mode) {
    let mut driver = reader(platform());
    driver.run(secs(10));
    let held = driver.in_force();
    driver.platform.mode = mode;
    let from = driver.now;
    driver.run(secs(600));
    assert_eq!(driver.in_force(), held);
    let calls = driver.calls_since(from);
    assert!((100..=310).contains(&calls), "{calls} calls in 600 s");
    let told = driver.reports().len();
    assert_eq!(told, 1, "{:?}", driver.reports());
    driver.platform.mode = Mode::Up;
    let back = driver.now;
    let revision = driver.platform.change("clara");
    driver.run(secs(20));
    let at = driver.in_force_at(revision).expect("in force");
    // A frozen platform's calls expire first.
    assert!(at.since(back) <= secs(5), "took {}", at.since(back));
    assert!(matches!(driver.reports()[1], Report::Recovered { .. }));
}

/// A frozen platform holds the connection open for ever; each call must end at its deadline.
#[test]
fn calls_of_a_frozen_platform_are_dropped() {
    let mut driver = reader(platform());
    driver.platform.mode = Mode::Frozen;
    for _ in 0..600 {
        driver.run(Millis(100));
        let oldest = driver.waiting.iter().map(|w| driver.now.since(w.at)).max();
        assert!(oldest.unwrap_or_default() <= secs(4));
    }
    let first = driver.reports()[0].clone();
    let failure = Failure::Timeout;
    assert_eq!(first, Report::Unreachable { failure });
}

/// A 429 with `Retry-After: 20`: a call before that would be refused again and counts against what
/// the other readers get.
#[test]
fn retry_after_is_honoured() {
    let mut driver = reader(platform());
    driver.run(secs(10));
    driver.platform.mode = Mode::Throttling(Some(secs(20)));
    driver.platform.change("clara");
    let throttled = driver.now;
    driver.run(secs(4));
    driver.platform.mode = Mode::Up;
    driver.run(secs(60));
    let next = driver.started.iter().find(|s| s.at >= throttled);
    let pause = next.expect("a call").at.since(throttled);
    assert!(
        pause >= secs(20) && pause <= secs(21),
        "next call after {pause}"
    );
    assert_eq!(driver.in_force(), driver.platform.revision);
}

/// A mistaken `Retry-After` of a year must not silence the reader until it is restarted.
#[test]
fn an_absurd_retry_after_is_bounded() {
    let mut driver = reader(platform());
    driver.platform.mode = Mode::Throttling(Some(secs(365 * 24 * 3600)));
    driver.run(secs(1));
    driver.platform.mode = Mode::Up;
    driver.run(secs(62));
    assert_eq!(driver.in_force(), driver.platform.revision);
}

/// The process is stopped for an hour while a watch waits. In that time the configuration changed,
/// and the watch's answer, an hour old, lies in the socket. On waking the reader must not take that
/// answer as the present state: it drops the call, reads again at once, and until then nothing
/// counts as confirmed.
#[test]
fn a_late_wake_reads_again_before_it_believes() {
    let mut driver = reader(platform());
    driver.run(secs(10));
    let watch = driver.waiting[0].clone();
    assert!(matches!(watch.call, Call::Watch { .. }));
    let old = driver.platform.index();
    driver.platform.change("clara");
    driver.sleep(secs(3600));
    let woken = driver.now;
    driver.feed(Event::Answered {
        call: watch.id,
        answer: Answer::Index(old),
    });
    assert_eq!(driver.machine.confirmed_at(), None);
    let late = |r: &&&Report| matches!(r, Report::LateWake { .. });
    assert_eq!(driver.reports().iter().filter(late).count(), 1);
    let calls: Vec<&Call> = driver.waiting.iter().map(|w| &w.call).collect();
    assert_eq!(calls, [&Call::Index]);
    driver.run(secs(1));
    assert_eq!(driver.in_force(), driver.platform.revision);
    assert!(driver.machine.confirmed_at().expect("confirmed") >= woken);
}

/// The process was backing off when it was stopped: on waking it reads at once all the same.
#[test]
fn a_late_wake_ends_a_backoff() {
    let mut driver = reader(platform());
    driver.platform.mode = Mode::Down;
    driver.run(secs(60));
    driver.platform.mode = Mode::Up;
    driver.sleep(secs(100));
    driver.feed(Event::Tick);
    let last = driver.started.last().expect("a call");
    assert_eq!(last.at, driver.now);
}
