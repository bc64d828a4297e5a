//! Tests of a server process that ends and restarts under its name.

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

/// The servers chosen for the prompt in many picks, excluding its home.
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

// Guards against slow first tokens after a restart. The engine that had cached the prompts is gone,
// and its empty successor must not attract them. First an engine reports a cached prefix and gets
// all its prompts; after its restart they go where they went before.
#[test]
fn cached_prefixes_are_forgotten() {
    let mut fleet = Fleet::new(5);
    let demand = prompt(&fleet);
    let pick = fleet.router.pick(&demand, fleet.now).unwrap();
    fleet.end(pick.attempt, Outcome::Cancelled);
    let home = pick.server;
    let before = picked(&mut fleet, home);
    let mut others = fleet.keys.iter().copied();
    let holder = others.find(|key| *key != home && !before.contains(key));
    let holder = holder.unwrap();
    let event = CacheEvent {
        seq: 1,
        change: CacheChange::Stored,
        prefix: PREFIX,
    };
    fleet.router.cache_event(holder, event);
    assert_eq!(picked(&mut fleet, home), HashSet::from([holder]));
    fleet.router.server_restarted(holder);
    assert_eq!(picked(&mut fleet, home), before);
}

// Guards against refusals while a healthy process runs. Its predecessor failed and is ejected; the
// report of the restart makes the server available at once rather than after the ejection.
#[test]
fn failures_are_forgotten() {
    let mut fleet = Fleet::new(1);
    let pick = fleet.router.pick(&fleet.demand(), fleet.now).unwrap();
    fleet
        .router
        .done(pick.attempt, Outcome::Refused, 0, fleet.now);
    assert!(fleet.router.pick(&fleet.demand(), fleet.now).is_err());
    fleet.router.server_restarted(pick.server);
    assert!(fleet.router.pick(&fleet.demand(), fleet.now).is_ok());
}

// Guards against ejecting a restarted server. The process ends during a request, before or after
// its first byte, and the registry reports the restart before the cut connection is noticed. The
// cut belongs to the previous process and must not count against the new one, but its slot must be
// freed.
#[test]
fn ends_of_the_previous_process_are_no_evidence() {
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
