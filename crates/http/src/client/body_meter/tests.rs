#![allow(clippy::unwrap_used)]

use super::*;

const NOW: Millis = Millis(1000);

/// Guards against a plain body that is relayed without end.
#[test]
fn a_plain_body_is_bounded_in_bytes() {
    let mut meter = BodyMeter::new(10, 1000);
    meter.record(&[b'x'; 10], NOW).unwrap();
    assert_eq!(meter.record(b"x", NOW), Err(CutCause::TooLarge));
    assert_eq!(meter.bytes(), 10);
}

/// Guards against an event without end, and against cutting a stream of whole events.
#[test]
fn a_stream_is_bounded_by_the_bytes_of_an_event() {
    let mut meter = BodyMeter::new(10, 20);
    meter.expect_events();
    for _ in 0..100 {
        meter.record(b"data: x\n\n", NOW).unwrap();
    }
    meter.record(b"data: 4567890", NOW).unwrap();
    meter.record(b"1234567", NOW).unwrap();
    assert_eq!(meter.record(b"x", NOW), Err(CutCause::TooLarge));
}

/// Guards against a server that is never waited for, so that no timer is looked at.
#[test]
fn bytes_after_the_deadline_are_bounded() {
    let mut meter = BodyMeter::new(u64::MAX, u64::MAX);
    meter.set_deadline(NOW);
    let chunk = vec![0; 64 * 1024];
    meter.record(&chunk, Millis(NOW.0 - 1)).unwrap();
    for _ in 0..4 {
        meter.record(&chunk, NOW).unwrap();
    }
    assert_eq!(meter.record(b"x", NOW), Err(CutCause::Overdue));
}

/// Guards against a body that keeps a task running, be it in large pieces or in pieces of a byte.
#[test]
fn a_turn_is_over_after_some_work() {
    for (piece, pieces) in [(64 * 1024, 1), (1, 256)] {
        let mut meter = BodyMeter::new(u64::MAX, u64::MAX);
        let chunk = vec![0; piece];
        for _ in 0..pieces {
            meter.record(&chunk, NOW).unwrap();
        }
        assert!(meter.is_turn_over());
        meter.begin_turn();
        assert!(!meter.is_turn_over());
    }
}
