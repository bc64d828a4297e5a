//! Tests of the comparison of predicted and actual waits in logs.

use crocushold_base::Millis;
use crocushold_gateway::Chooser;
use crocushold_gateway::WaitPrediction;
use crocushold_gateway::wait_predictions;
use test_case::test_case;

fn line(route: &str, placer: &str, expected_wait: u64, first_byte: u64) -> String {
    format!(
        "time=2026-02-12T10:00:00.000+0000 event=request-ended route={route} placer={placer} \
         expected-wait={expected_wait}ms outcome=answered prefix=7f first={first_byte}ms"
    )
}

fn predictions(lines: &[String]) -> Vec<WaitPrediction> {
    wait_predictions(lines.iter().map(String::as_str))
}

fn correlation(pairs: &[(u64, u64)]) -> Option<f64> {
    let lines = pairs
        .iter()
        .map(|&(wait, first_byte)| line("a", "none", wait, first_byte));
    let lines: Vec<String> = lines.collect();
    predictions(&lines)[0].correlation
}

/// The correlation depends on the order of the waits, not on their scale: in order, in reverse
/// order, or unrelated.
#[test_case(&[(0, 10), (50, 400), (900, 401)], Some(1.0); "in order")]
#[test_case(&[(0, 900), (50, 400), (900, 10)], Some(-1.0); "reversed")]
#[test_case(&[(0, 10), (0, 20), (900, 10), (900, 20)], Some(0.0); "no relation")]
#[test_case(&[(0, 10), (0, 20)], None; "nothing was expected")]
#[test_case(&[(5, 10)], None; "one request")]
fn rank_correlation_is_computed(pairs: &[(u64, u64)], expected_wait: Option<f64>) {
    let met = correlation(pairs);
    match (met, expected_wait) {
        (Some(met), Some(expected_wait)) => assert!((met - expected_wait).abs() < 1e-9, "{met}"),
        _ => assert_eq!(met, expected_wait),
    }
}

/// Two requests of one route were placed by the placer, and one of another route by its own
/// instance. The table separates them and assigns each to the bucket of its predicted wait.
#[test]
fn requests_are_grouped_by_route_and_chooser() {
    let lines = [
        line("a", "10.0.0.1:7340", 0, 30),
        line("a", "10.0.0.1:7340", 150, 90),
        line("b", "none", 5000, 2000),
        "event=request-ended route=a expected-wait=0ms outcome=late prefix=7f".to_owned(),
        "event=request-ended route=a expected-wait=0ms first=3ms prefix=0".to_owned(),
    ];
    let predictions = predictions(&lines);
    let keys: Vec<_> = predictions
        .iter()
        .map(|predictions| (predictions.route.as_deref(), predictions.chooser))
        .collect();
    let wanted = [
        (None, Chooser::All),
        (None, Chooser::Own),
        (None, Chooser::Placer),
        (Some("a"), Chooser::All),
        (Some("b"), Chooser::All),
    ];
    assert_eq!(keys, wanted);
    let requests: Vec<usize> = predictions[0]
        .buckets
        .iter()
        .map(|bucket| bucket.requests)
        .collect();
    assert_eq!(requests, [1, 1, 0, 0, 1]);
    assert_eq!(predictions[0].buckets[4].first_byte, [Millis(2000); 2]);
    assert_eq!(predictions[0].buckets[4].upper_bound, None);
}
