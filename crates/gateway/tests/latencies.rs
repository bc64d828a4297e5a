//! Tests of the latency table computed from logs.

use crocushold_base::Millis;
use crocushold_gateway::latencies;

fn line(at: &str, rest: &str) -> String {
    format!("time=2026-02-12T{at}+0000 level=info module=m event=request-ended {rest}")
}

/// Live streams had long pauses in the second interval, one request was refused, and one lost its
/// caller midway. The table attributes these to the right intervals and ignores other lines.
#[test]
fn classes_are_summarized_by_interval() {
    let lines = [
        line(
            "10:00:00.500",
            "request=a route=live expected-wait=0ms outcome=answered first=30ms longest-pause=90ms source=none",
        ),
        line(
            "10:00:01.900",
            "request=b route=live expected-wait=7ms outcome=answered first=50ms longest-pause=80ms source=10.0.0.1:80",
        ),
        line(
            "10:00:03.000",
            "request=c route=live expected-wait=9ms outcome=answered first=40ms longest-pause=240ms source=none",
        ),
        line(
            "10:00:03.100",
            "request=d route=live expected-wait=900ms outcome=late",
        ),
        line(
            "10:00:03.150",
            "request=f route=live expected-wait=9ms outcome=caller-gone first=60ms longest-pause=300ms",
        ),
        line(
            "10:00:03.200",
            "request=e route=batch expected-wait=5ms outcome=answered first=700ms longest-pause=10ms",
        ),
        "time=2026-02-12T10:00:03.300+0000 level=info module=m event=server-listed server=s"
            .to_owned(),
        "event=request-ended route=live".to_owned(),
        "\u{1}\u{2}".to_owned(),
    ];
    let intervals = latencies(lines.iter().map(String::as_str), Millis(2000));
    assert_eq!(intervals.len(), 3);
    let [batch, calm, late] = &intervals[..] else {
        unreachable!()
    };
    assert_eq!((batch.route.as_str(), batch.start), ("batch", Millis(2000)));
    assert_eq!((calm.route.as_str(), calm.start), ("live", Millis(0)));
    assert_eq!((calm.ended, calm.unserved, calm.transferred), (2, 0, 1));
    assert_eq!(calm.first_byte, [50, 50, 50].map(Millis));
    assert_eq!((late.ended, late.unserved, late.unanswered), (3, 2, 1));
    assert_eq!(late.longest_pause, [240, 240, 240].map(Millis));
    assert_eq!(late.expected_wait, [9, 9, 9].map(Millis));
}

#[test]
fn empty_logs_yield_no_intervals() {
    assert!(latencies([], Millis(2000)).is_empty());
    assert!(latencies(["event=request-ended"], Millis::ZERO).is_empty());
}
