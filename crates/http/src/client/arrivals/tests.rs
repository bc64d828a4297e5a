//! Tests of the silences of an answer.

use super::*;

fn arrivals(times: &[u64]) -> Arrivals {
    let mut arrivals = Arrivals::new(Millis(1000));
    for time in times {
        arrivals.record(Millis(*time));
    }
    arrivals
}

/// Guards against an end that is trusted although it may be older than a cut of the path.
#[test]
fn an_end_just_after_a_silence_is_held_back() {
    assert!(arrivals(&[1100, 1600]).is_held_back());
    assert!(arrivals(&[1100, 1700, 1701, 1800]).is_held_back());
}

/// Guards against whole answers that count as cut.
#[test]
fn an_end_without_a_silence_or_long_after_one_is_not_held_back() {
    assert!(!arrivals(&[1100, 1500, 1900]).is_held_back());
    assert!(!arrivals(&[1100, 1700, 1900, 2000]).is_held_back());
}

/// Guards against a stream that was held back as a whole.
#[test]
fn an_end_just_after_a_late_head_is_held_back() {
    let mut late = Arrivals::new(Millis(1000));
    late.set_awaited(Millis(600));
    late.count_wait();
    late.record(Millis(1001));
    assert!(late.is_held_back());
    late.record(Millis(1300));
    assert!(!late.is_held_back());
}
