//! Tests of which requests meet their targets and which tokens count as useful.

use crocushold_standins::load::RequestOutcome;
use test_case::test_case;

use super::targets_met;
use super::useful_tokens;
use crate::drive::RequestRecord;
use crate::point::Timing;
use crate::scenario;

/// A streamed chat request that was due at 10 s and received four tokens.
fn stream(first: f64, gap: u32, ending: RequestOutcome) -> RequestRecord {
    RequestRecord {
        class: 0,
        marker: "chat.1".to_owned(),
        due: 10.0,
        send_delay: 0.0,
        ending,
        has_retry_after: false,
        reported_not_run: false,
        first_token: Some(first),
        gaps: vec![gap; 3],
        duration: 5.0,
        tokens: 4,
    }
}

#[test_case(&stream(0.3, 20_000, RequestOutcome::Complete), Some(true); "in time")]
#[test_case(&stream(0.4, 20_000, RequestOutcome::Complete), Some(false); "a late first token")]
#[test_case(&stream(0.3, 90_000, RequestOutcome::Complete), Some(false); "slow between tokens")]
#[test_case(&stream(0.3, 20_000, RequestOutcome::Cut), Some(false); "cut")]
#[test_case(&stream(0.3, 20_000, RequestOutcome::GaveUp), None; "open at the end, so far in time")]
#[test_case(&stream(0.4, 20_000, RequestOutcome::GaveUp), Some(false); "open at the end, missed already")]
fn verdicts(request: &RequestRecord, expected: Option<bool>) {
    let class = &scenario::evening_rush().classes[0];
    assert_eq!(targets_met(request, class), expected);
}

#[test_case(&stream(4.99, 20_000, RequestOutcome::Complete), 1.0; "only tokens inside the window")]
#[test_case(&stream(0.3, 20_000, RequestOutcome::GaveUp), 4.0; "an answer that still runs")]
#[test_case(&stream(0.3, 20_000, RequestOutcome::Cut), 0.0; "a cut answer is of no use")]
fn usefulness(request: &RequestRecord, expected: f64) {
    let class = &scenario::evening_rush().classes[0];
    let timing = Timing {
        window_start: 4.0,
        end: 15.0,
        ..Timing::default()
    };
    assert_eq!(useful_tokens(request, class, &timing), expected);
}
