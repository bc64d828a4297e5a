use crocushold_base::Millis;
use crocushold_base::ServerKey;
use slotmap::SlotMap;
use test_case::test_case;

use super::schedule::PollReason;
use super::schedule::PollSchedule;

fn servers(count: usize, reason: PollReason) -> Vec<(ServerKey, PollReason)> {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    (0..count).map(|_| (keys.insert(()), reason)).collect()
}

// Polls took 127 KB a second of an instance with 118 servers, where all control traffic may take 4
// KB. In the minute after the first round, polls must keep to their rate and not come in bursts.
#[test_case(PollReason::Selection, 7_080, 118)]
#[test_case(PollReason::Orders, 3_540, 60)]
#[test_case(PollReason::Borrowed, 1_416, 25)]
#[test_case(PollReason::Heterogeneous, 708, 13)]
#[test_case(PollReason::Background, 60, 3)]
fn polls_keep_their_rate(reason: PollReason, in_all: usize, at_once: usize) {
    let servers = servers(118, reason);
    let mut schedule = PollSchedule::default();
    let first = schedule.round(&servers, Millis(1_000));
    assert_eq!(first.len(), servers.len(), "each is polled once at first");
    let rounds = (2..62).map(|second| schedule.round(&servers, Millis(second * 1_000)).len());
    let rounds: Vec<usize> = rounds.collect();
    let sum: usize = rounds.iter().sum();
    assert!(sum.abs_diff(in_all) <= 118 / 10, "{sum}");
    assert!(rounds.iter().all(|&polls| polls <= at_once), "{rounds:?}");
}

// A server that was polled rarely becomes a borrowed one. If its next report were still two minutes
// away, requests would be sent to it although it is full.
#[test]
fn a_shorter_period_applies_immediately() {
    let rare = servers(1, PollReason::Background);
    let mut schedule = PollSchedule::default();
    schedule.round(&rare, Millis(1_000));
    assert!(schedule.round(&rare, Millis(90_000)).is_empty());
    let borrowed = vec![(rare[0].0, PollReason::Borrowed)];
    assert!(schedule.round(&borrowed, Millis(91_000)).is_empty());
    assert_eq!(schedule.round(&borrowed, Millis(96_000)).len(), 1);
}
