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
