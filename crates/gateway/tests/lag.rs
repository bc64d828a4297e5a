//! Instances that learn from each other that their watch brings nothing any more.

use crocushold_base::Millis;
use crocushold_gateway::Lag;
use crocushold_gateway::Revision;

const START: Millis = Millis(10_000);

fn at(number: u64) -> Revision {
    Revision { era: 3, number }
}

/// The connection to the store goes silent, and a change comes. The others read and tell it; after a moment in
/// which the own watch could have brought it, that is given up.
#[test]
fn a_watch_that_is_behind_is_given_up() {
    let mut lag = Lag::default();
    lag.observe(at(70));
    assert!(!lag.is_behind(Some(at(60)), START));
    assert!(!lag.is_behind(Some(at(60)), START + Millis(100)));
    assert!(lag.is_behind(Some(at(60)), START + Millis(300)));
}

/// The own watch brings the change a moment later than the others': nothing is given up.
#[test]
fn a_watch_that_catches_up_goes_on() {
    let mut lag = Lag::default();
    lag.observe(at(70));
    assert!(!lag.is_behind(Some(at(60)), START));
    assert!(!lag.is_behind(None, START + Millis(200)), "it gathers");
    assert!(!lag.is_behind(Some(at(70)), START + Millis(400)));
    lag.observe(at(80));
    assert!(
        !lag.is_behind(Some(at(70)), START + Millis(500)),
        "counted anew"
    );
}

/// A revision that never comes, by a fault of whoever told it, costs one call and not one a round.
#[test]
fn a_wrong_word_costs_one_call() {
    let mut lag = Lag::default();
    lag.observe(at(u64::MAX));
    let rounds = (0..100).map(|round| START + Millis(round * 100));
    let given_up = rounds.filter(|now| lag.is_behind(Some(at(60)), *now));
    assert_eq!(given_up.count(), 1);
}

/// Guards against instances that take a store that has gone back for one that they have read further.
#[test]
fn revisions_of_a_former_era_are_behind_those_of_the_next() {
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
