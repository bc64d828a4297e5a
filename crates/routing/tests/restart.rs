//! A server's process ends and starts anew under the server's name.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests, where the lint looks for test functions only"
)]

mod common;

use std::collections::HashSet;

use common::Fleet;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::CacheChange;
use crocushold_routing::CacheEvent;
use crocushold_routing::Demand;
use crocushold_routing::Outcome;
use crocushold_routing::State;

const PREFIX: u64 = 7;

fn prompt(fleet: &Fleet) -> Demand<'static> {
    Demand {
        prefix: Some(PREFIX),
        unique_tokens: 100,
        prefix_tokens: 6000,
        ..fleet.demand()
    }
}

/// Servers to which the prompt goes in many picks, its home left out.
fn picked(fleet: &mut Fleet, home: ServerKey) -> HashSet<ServerKey> {
    let exclude = [home];
    let demand = Demand {
        exclude: &exclude,
        ..prompt(fleet)
    };
    let picks = (0..50).map(|_| {
        let pick = fleet.router.pick(&demand, fleet.now).unwrap();
        fleet.end(pick.attempt, Outcome::Cancelled);
        pick.server
    });
    picks.collect()
}

// Callers see a slow first token: an engine that had read their prompt is gone, and the empty one under
// its name draws their prompts still. First the engine tells what it keeps and gets them all, then it starts
// anew; from then on they go where they went before.
#[test]
fn what_it_kept_is_forgotten() {
    let mut fleet = Fleet::new(5);
    let demand = prompt(&fleet);
    let pick = fleet.router.pick(&demand, fleet.now).unwrap();
    fleet.end(pick.attempt, Outcome::Cancelled);
    let home = pick.server;
    let before = picked(&mut fleet, home);
    let mut others = fleet.keys.iter().copied();
    let keeper = others.find(|key| *key != home && !before.contains(key));
    let keeper = keeper.unwrap();
    let event = CacheEvent {
        seq: 1,
        change: CacheChange::Stored,
        prefix: PREFIX,
    };
    fleet.router.cache_event(keeper, event);
    assert_eq!(picked(&mut fleet, home), HashSet::from([keeper]));
    fleet.router.server_restarted(keeper);
    assert_eq!(picked(&mut fleet, home), before);
}

// Callers are refused, or wait at the servers that are left, though a sound process runs: its predecessor
// failed and is out. With the news of the start it is in again at once, and not after the span out.
#[test]
fn its_failures_are_forgotten() {
    let mut fleet = Fleet::new(1);
    let pick = fleet.router.pick(&fleet.demand(), fleet.now).unwrap();
    fleet
        .router
        .done(pick.attempt, Outcome::Refused, 0, fleet.now);
    assert!(fleet.router.pick(&fleet.demand(), fleet.now).is_err());
    fleet.router.server_restarted(pick.server);
    assert!(fleet.router.pick(&fleet.demand(), fleet.now).is_ok());
}

// A request is under way in the middle of its stream, or before its first byte, when the process ends; the
// registry tells of the next one before the connection is seen to be cut. The cut tells of the process that
// is gone: counted against the new one, callers would lose a sound server. Its slot must be free all the same.
#[test]
fn ends_of_the_life_before_tell_nothing() {
    for begun in [false, true] {
        let mut fleet = Fleet::new(2);
        let server = fleet.keys[0];
        let mut picks = Vec::new();
        while let Ok(pick) = fleet.router.pick(&fleet.demand(), fleet.now) {
            picks.push(pick);
        }
        let picks: Vec<_> = picks.into_iter().filter(|p| p.server == server).collect();
        assert!(!picks.is_empty());
        for pick in &picks {
            if begun {
                fleet.router.first_byte(pick.attempt, fleet.now);
            }
        }
        fleet.router.server_restarted(server);
        for pick in &picks {
            fleet.now += Millis(300);
            fleet
                .router
                .done(pick.attempt, Outcome::Refused, 0, fleet.now);
        }
        let standing = fleet.router.standing(server).unwrap();
        assert_eq!(standing.state, State::Serving);
        assert_eq!(standing.failures, 0);
        assert_eq!(standing.in_flight, 0);
    }
}
