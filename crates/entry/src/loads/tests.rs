use crocushold_base::Millis;
use crocushold_base::ServerKey;
use slotmap::SlotMap;
use test_case::test_case;

use super::plan::Cause;
use super::plan::Plan;

fn servers(count: usize, cause: Cause) -> Vec<(ServerKey, Cause)> {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    (0..count).map(|_| (keys.insert(()), cause)).collect()
}

// Polls took 127 KB a second of an instance with 118 servers, of 4 KB that all of control may take.
// Over a minute after the first round they must not exceed their rate, nor come in one burst.
#[test_case(Cause::Watched, 7_080, 118)]
#[test_case(Cause::Ordered, 3_540, 60)]
#[test_case(Cause::Borrowed, 1_416, 25)]
#[test_case(Cause::Mixed, 708, 13)]
#[test_case(Cause::Rare, 60, 3)]
fn polls_keep_their_rate(cause: Cause, in_all: usize, at_once: usize) {
    let servers = servers(118, cause);
    let mut plan = Plan::default();
    let first = plan.round(&servers, Millis(1_000));
    assert_eq!(first.len(), servers.len(), "each is asked once at first");
    let rounds = (2..62).map(|second| plan.round(&servers, Millis(second * 1_000)).len());
    let rounds: Vec<usize> = rounds.collect();
    let sum: usize = rounds.iter().sum();
    assert!(sum.abs_diff(in_all) <= 118 / 10, "{sum}");
    assert!(rounds.iter().all(|&polls| polls <= at_once), "{rounds:?}");
}

// A server that was asked rarely is borrowed now. Its next report must not be two minutes away, or
// requests go to it although it is full.
#[test]
fn a_shorter_period_holds_at_once() {
    let rare = servers(1, Cause::Rare);
    let mut plan = Plan::default();
    plan.round(&rare, Millis(1_000));
    assert!(plan.round(&rare, Millis(90_000)).is_empty());
    let borrowed = vec![(rare[0].0, Cause::Borrowed)];
    assert!(plan.round(&borrowed, Millis(91_000)).is_empty());
    assert_eq!(plan.round(&borrowed, Millis(96_000)).len(), 1);
}
