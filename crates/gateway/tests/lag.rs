//! Instances that learn from each other that their watch brings nothing any more.

use crocushold_base::Millis;
use crocushold_gateway::Lag;

const START: Millis = Millis(10_000);

/// The connection to the store goes silent, and a change comes. The others read and tell it; after a moment in
/// which the own watch could have brought it, that is given up.
#[test]
fn a_watch_that_is_behind_is_given_up() {
    let mut lag = Lag::default();
    lag.hear(70);
    assert!(!lag.is_behind(Some(60), START));
    assert!(!lag.is_behind(Some(60), START + Millis(100)));
    assert!(lag.is_behind(Some(60), START + Millis(300)));
}

/// The own watch brings the change a moment later than the others': nothing is given up.
#[test]
fn a_watch_that_catches_up_goes_on() {
    let mut lag = Lag::default();
    lag.hear(70);
    assert!(!lag.is_behind(Some(60), START));
    assert!(!lag.is_behind(None, START + Millis(200)), "it gathers");
    assert!(!lag.is_behind(Some(70), START + Millis(400)));
    lag.hear(80);
    assert!(
        !lag.is_behind(Some(70), START + Millis(500)),
        "counted anew"
    );
}

/// A revision that never comes, by a fault of whoever told it, costs one call and not one a round.
#[test]
fn a_wrong_word_costs_one_call() {
    let mut lag = Lag::default();
    lag.hear(u64::MAX);
    let rounds = (0..100).map(|round| START + Millis(round * 100));
    let given_up = rounds.filter(|now| lag.is_behind(Some(60), *now));
    assert_eq!(given_up.count(), 1);
}
