use test_case::test_case;

use super::*;

const NOW: Millis = Millis(1000);

/// Guards against bodies that are received without end, and against cutting streams that may go on.
#[test_case(Millis::MAX, None, None; "stream without a deadline")]
#[test_case(Millis(1500), None, Some(Millis(500)); "stream with a deadline")]
#[test_case(Millis(900), None, Some(MIN_TIMEOUT); "stream past its deadline")]
#[test_case(Millis::MAX, Some(Millis(300)), Some(Millis(300)); "plain without a deadline")]
#[test_case(Millis(1500), Some(Millis(300)), Some(Millis(300)); "plain with a later deadline")]
#[test_case(Millis(1200), Some(Millis(300)), Some(Millis(200)); "plain with an earlier deadline")]
fn a_body_ends_by_its_deadline(
    deadline: Millis,
    plain_timeout: Option<Millis>,
    timeout: Option<Millis>,
) {
    assert_eq!(body_timeout(deadline, plain_timeout, NOW), timeout);
}
