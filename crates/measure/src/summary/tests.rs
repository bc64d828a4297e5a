//! What counts as attained, and as useful.

use crocushold_standins::load::RequestOutcome;
use test_case::test_case;

use super::useful_tokens;
use super::verdict;
use crate::drive::Sent;
use crate::point::Timing;
use crate::shape;

/// A stream of chat that was due at 10 s and has four tokens.
fn stream(first: f64, gap: u32, ending: RequestOutcome) -> Sent {
    Sent {
        class: 0,
        marker: "chat.1".to_owned(),
        due: 10.0,
        late: 0.0,
        ending,
        hinted: false,
        unrun: false,
        first: Some(first),
        gaps: vec![gap; 3],
        whole: 5.0,
        tokens: 4,
    }
}

#[test_case(&stream(0.3, 20_000, RequestOutcome::Complete), Some(true); "in time")]
#[test_case(&stream(0.4, 20_000, RequestOutcome::Complete), Some(false); "a late first token")]
#[test_case(&stream(0.3, 90_000, RequestOutcome::Complete), Some(false); "slow between tokens")]
#[test_case(&stream(0.3, 20_000, RequestOutcome::Cut), Some(false); "cut")]
#[test_case(&stream(0.3, 20_000, RequestOutcome::GaveUp), None; "open at the end, so far in time")]
#[test_case(&stream(0.4, 20_000, RequestOutcome::GaveUp), Some(false); "open at the end, missed already")]
fn verdicts(sent: &Sent, expected: Option<bool>) {
    let class = &shape::evening().classes[0];
    assert_eq!(verdict(sent, class), expected);
}

#[test_case(&stream(4.99, 20_000, RequestOutcome::Complete), 1.0; "only tokens inside the window")]
#[test_case(&stream(0.3, 20_000, RequestOutcome::GaveUp), 4.0; "an answer that still runs")]
#[test_case(&stream(0.3, 20_000, RequestOutcome::Cut), 0.0; "a cut answer is of no use")]
fn usefulness(sent: &Sent, expected: f64) {
    let class = &shape::evening().classes[0];
    let timing = Timing {
        warm: 4.0,
        end: 15.0,
        ..Timing::default()
    };
    assert_eq!(useful_tokens(sent, class, &timing), expected);
}
