//! Tests of which connections are turned away.

use super::*;

const START: u64 = 10_000;

/// Feeds connections that each waited for `wait` ms, one each 10 ms from `from` on. Returns how many are turned
/// away.
fn feed(overload: &mut Overload, from: u64, wait: u64, count: u64) -> usize {
    let times = (0..count).map(|number| Millis(from + 10 * number));
    times
        .filter(|now| overload.turns_away(Millis(wait), *now))
        .count()
}

/// Guards against turning callers away for a burst, which is over before long.
#[test]
fn a_burst_waits() {
    let mut overload = Overload::default();
    assert_eq!(feed(&mut overload, START, 400, 20), 0);
    assert_eq!(feed(&mut overload, START + 200, 20, 5), 0);
    assert_eq!(feed(&mut overload, START + 250, 400, 20), 0);
}

/// Guards against reading more than can be served, and against turning more away once there is time again.
#[test]
fn what_waits_in_a_standing_queue_is_turned_away() {
    let mut overload = Overload::default();
    assert_eq!(feed(&mut overload, START, 400, 20), 0);
    assert_eq!(feed(&mut overload, START + 200, 400, 50), 50);
    assert_eq!(feed(&mut overload, START + 700, 20, 50), 0);
}

/// Guards against a processor quota that looks like overload, as the process is held for most of a tenth of a
/// second each time.
#[test]
fn a_processor_quota_is_no_overload() {
    let mut overload = Overload::default();
    assert_eq!(feed(&mut overload, START, 95, 1000), 0);
}

/// Guards against taking the first wait after a quiet time for the rest of an overload before it.
#[test]
fn an_overload_is_forgotten_after_a_quiet_time() {
    let mut overload = Overload::default();
    assert_eq!(feed(&mut overload, START, 400, 50), 30);
    assert!(!overload.turns_away(Millis(400), Millis(START + 5000)));
}

/// Answers `count` requests, one each `interval` ms from `from` on, while `unanswered` are always read.
fn answer(overload: &mut Overload, unanswered: u32, from: u64, interval: u64, count: u64) {
    for _ in 0..unanswered {
        overload.request_read();
    }
    for number in 0..count {
        overload.request_read();
        overload.request_ended(true, Millis(from + interval * number));
    }
}

/// Guards against reading requests that are answered after their callers have given up: each wait is short enough,
/// but an answer takes many of them.
#[test]
fn what_would_be_answered_late_is_turned_away() {
    let mut overload = Overload::default();
    // 100 answers a second, and 80 requests ahead.
    answer(&mut overload, 80, START, 10, 200);
    assert_eq!(feed(&mut overload, START + 2000, 60, 1), 0);
    let turned_away = feed(&mut overload, START + 2010, 90, 30);
    assert!(turned_away > 15, "{turned_away} of 30");
}

/// Guards against turning callers away from an instance that has time, and whose servers are slow.
#[test]
fn requests_that_wait_for_servers_are_no_overload() {
    let mut overload = Overload::default();
    answer(&mut overload, 500, START, 10, 200);
    assert_eq!(feed(&mut overload, START + 2000, 15, 100), 0);
}

/// Guards against turning callers away under a processor quota that is enough for all of them.
#[test]
fn a_quota_under_which_answers_are_in_time_is_no_overload() {
    let mut overload = Overload::default();
    answer(&mut overload, 20, START, 10, 200);
    assert_eq!(feed(&mut overload, START + 2000, 95, 10), 0);
}

/// Guards against requests whose callers have left and that count as unanswered for ever.
#[test]
fn a_request_whose_caller_has_left_is_not_ahead_of_others() {
    let mut overload = Overload::default();
    answer(&mut overload, 80, START, 10, 200);
    for _ in 0..80 {
        overload.request_ended(false, Millis(START + 2000));
    }
    assert_eq!(feed(&mut overload, START + 2000, 90, 10), 0);
}
