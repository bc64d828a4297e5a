//! Tests of the detection of watches that deliver nothing.

use crocushold_base::Millis;
use crocushold_gateway::Lag;
use crocushold_gateway::Revision;

const START: Millis = Millis(10_000);

fn at(number: u64) -> Revision {
    Revision { era: 3, number }
}

/// The connection to the store goes silent before a change. Other instances read the change and
/// gossip it. The watch is cancelled after the time in which it could have delivered the change
/// itself.
#[test]
fn a_watch_that_is_behind_is_cancelled() {
    let mut lag = Lag::default();
    lag.observe(at(70));
    assert!(!lag.is_behind(Some(at(60)), START));
    assert!(!lag.is_behind(Some(at(60)), START + Millis(100)));
    assert!(lag.is_behind(Some(at(60)), START + Millis(300)));
}

/// The own watch delivers the change slightly later than those of the others, and isn't cancelled.
#[test]
fn a_watch_that_catches_up_continues() {
    let mut lag = Lag::default();
    lag.observe(at(70));
    assert!(!lag.is_behind(Some(at(60)), START));
    assert!(
        !lag.is_behind(None, START + Millis(200)),
        "no watch is running"
    );
    assert!(!lag.is_behind(Some(at(70)), START + Millis(400)));
    lag.observe(at(80));
    assert!(
        !lag.is_behind(Some(at(70)), START + Millis(500)),
        "the delay starts again"
    );
}

/// A wrong revision that is never reached, sent by a faulty instance, costs one call instead of one
/// in each round.
#[test]
fn a_wrong_revision_costs_one_call() {
    let mut lag = Lag::default();
    lag.observe(at(u64::MAX));
    let rounds = (0..100).map(|round| START + Millis(round * 100));
    let given_up = rounds.filter(|now| lag.is_behind(Some(at(60)), *now));
    assert_eq!(given_up.count(), 1);
}

/// Guards against instances that regard a restored store as one whose changes they have already
/// read.
#[test]
fn revisions_of_an_earlier_era_precede_those_of_the_next() {
    let mut lag = Lag::default();
    lag.observe(at(70));
    lag.observe(Revision { era: 4, number: 12 });
    assert!(!lag.is_behind(Some(at(80)), START));
    assert!(lag.is_behind(Some(at(80)), START + Millis(300)));
    lag.observe(at(90));
    let read = Some(Revision { era: 4, number: 12 });
    let rounds = (0..100).map(|round| START + Millis(1000 + round * 100));
    assert_eq!(rounds.filter(|now| lag.is_behind(read, *now)).count(), 0);
}
