//! Tests of the sums of spans that may follow each other.

use crocushold_base::Millis;
use test_case::test_case;

use super::CALL_MARGIN;
use super::StoreTimes;
use crate::directory::RETURN_GRACE;
use crate::instance::Settings;
use crate::lag::WATCH_GRACE;

/// Time until a revision that one instance has read is known to all: two rounds of gossip.
const GOSSIP: Millis = Millis(200);

/// Time in which a configuration of 1 MB, in base64, arrives over a link of 10 Mbit/s.
const TRANSFER: Millis = Millis(1100);

fn times(stable: u64, bound: u64) -> StoreTimes {
    StoreTimes::new(&Settings {
        stable_window: Millis(stable),
        apply_bound: Millis(bound),
        drain_bound: Millis(bound),
        ..Settings::default()
    })
}

/// Guards against sequences of spans that each fit into a bound, but not one after the other.
#[test_case(3000, 2000; "small")]
#[test_case(4000, 3000; "grown")]
#[test_case(5000, 4000; "large")]
fn each_sequence_of_spans_fits_its_bound(stable: u64, bound: u64) {
    let times = times(stable, bound);
    let [stable, bound] = [stable, bound].map(Millis);
    let backoff = times.backoff;
    let retry_after = backoff.max_retry_after + backoff.initial_pause;
    let pause = backoff.max_pause.max(retry_after);
    let sums = [
        // A silent connection is noticed, and another one opened.
        (times.watch.timeout + CALL_MARGIN, stable),
        // The store turned this instance away; a removed server is used until the doubt ends.
        (pause + CALL_MARGIN + RETURN_GRACE, stable),
        // The store was silent, and the last call began just before it recovered.
        (
            times.lag_watch.timeout + pause + CALL_MARGIN + RETURN_GRACE,
            stable + bound,
        ),
        // A change arrives just after another one.
        (times.batch_pause + CALL_MARGIN, bound),
        // The watch is silent, another instance announces the change.
        (
            GOSSIP + WATCH_GRACE + times.lag_watch.timeout + CALL_MARGIN,
            bound,
        ),
    ];
    for (index, (sum, limit)) in sums.into_iter().enumerate() {
        assert!(sum <= limit, "sequence {index}: {sum} of {limit}");
    }
}

/// Guards against a large configuration that isn't in force in time on a narrow link, which the
/// deployments with the longer bounds have.
#[test_case(4000, 3000; "grown")]
#[test_case(5000, 4000; "large")]
fn a_large_configuration_arrives_in_time_after_another_change(stable: u64, bound: u64) {
    let times = times(stable, bound);
    assert!(times.batch_pause + CALL_MARGIN + TRANSFER <= Millis(bound));
}

/// Guards against calls without a pause between them, whatever the platform sets.
#[test]
fn pauses_have_a_lower_limit() {
    let times = times(0, 0);
    assert!(times.backoff.max_pause > Millis::ZERO);
    assert!(times.backoff.max_retry_after > Millis::ZERO);
    assert!(times.watch.wait > Millis::ZERO);
}
