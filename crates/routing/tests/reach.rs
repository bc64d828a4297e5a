//! Which servers an instance uses while instances come and go, and while its servers can't serve.

use std::collections::BTreeSet;
use std::ops::Range;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Allotment;
use crocushold_routing::EntryFleet;
use crocushold_routing::ServerSpec;
use crocushold_routing::ServerSubset;
use crocushold_routing::Share;
use crocushold_routing::Shortage;
use proptest::prelude::*;
use slotmap::SlotMap;
use test_case::test_case;

const SLOTS: u32 = 16;

/// Servers that an instance is to have.
const WANTED: usize = 8;

const NOW: Millis = Millis(1_000);

fn servers(count: usize, concurrency: u32) -> Vec<ServerSpec> {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let specs = (0..count).map(|at| ServerSpec {
        key: keys.insert(()),
        id: 1 + at as u64 * 1_000_003,
        zone: String::new(),
        region: None,
        concurrency,
        models: Vec::new(),
    });
    specs.collect()
}

fn instances(count: u64) -> Vec<u64> {
    (0..count).map(|at| 2 + at * 7_919).collect()
}

fn reach(servers: &[ServerSpec], live: &[u64], local_id: u64, senders: usize) -> ServerSubset {
    let mut reach = ServerSubset::new(senders);
    reach.set_servers(servers, WANTED);
    let index = live.iter().position(|&id| id == local_id).unwrap_or(0);
    reach.set_fleet(&EntryFleet {
        instances: live.to_vec(),
        local_id,
        share: Share {
            instances: live.len() as u32,
            index: index as u32,
        },
    });
    reach
}

/// The requests that an instance may have in flight on each server, of its own right.
fn limits(reach: &ServerSubset, servers: &[ServerSpec]) -> Vec<u32> {
    let mut limits = vec![0; servers.len()];
    for &(at, allotment) in reach.allotted() {
        limits[at] = allotment.of(servers[at].concurrency, servers[at].id);
    }
    limits
}

fn sum(all: &[Vec<u32>], at: usize) -> u32 {
    all.iter().map(|limits| limits[at]).sum()
}

fn borrowed(reach: &ServerSubset) -> usize {
    let all = reach.allotted().iter();
    all.filter(|(_, allotment)| *allotment == Allotment::Borrowed)
        .count()
}

/// Today's fleets keep all servers in reach of all instances, with the parts that they had: an
/// upgrade moves nothing.
#[test_case(1, 20)]
#[test_case(6, 10)]
#[test_case(8, 20)]
#[test_case(8, 500)]
fn a_small_fleet_uses_all_servers(count: u64, size: usize) {
    let servers = servers(size, 2);
    let live = instances(count);
    for (index, &me) in live.iter().enumerate() {
        let reach = reach(&servers, &live, me, 8);
        let share = Share {
            instances: count as u32,
            index: index as u32,
        };
        assert!(reach.is_whole());
        let mut all = reach.allotted().iter();
        assert!(all.all(|(_, allotment)| *allotment == Allotment::Own(share)));
    }
}

/// With more senders than slots each sender still has one, so that a server of 16 slots before 100
/// instances would get 100 requests at a time and queue them where no class counts.
#[test_case(100, 60 ; "all wanted by all")]
#[test_case(400, 151 ; "a model of the large fleet")]
fn no_server_has_more_senders_than_slots(count: u64, size: usize) {
    let servers = servers(size, SLOTS);
    let live = instances(count);
    let all = live.iter();
    let all: Vec<_> = all
        .map(|&me| limits(&reach(&servers, &live, me, 8), &servers))
        .collect();
    for at in 0..size {
        assert_eq!(sum(&all, at), SLOTS, "{at}");
    }
    let served = all
        .iter()
        .all(|limits| limits.iter().any(|&limit| limit > 0));
    assert!(served, "an instance without servers refuses everything");
}

/// Eighty slots before 400 instances: most would have no server at all, or one whose crash leaves
/// their callers with nothing until the reach is widened. There each server gets more senders.
#[test]
fn an_instance_has_several_servers_of_a_small_service() {
    let servers = servers(5, SLOTS);
    let live = instances(400);
    let own = live.iter().map(|&me| reach(&servers, &live, me, 8).own());
    assert!(own.min() >= Some(3));
}

/// Some instances know of a change seconds before the others. Meanwhile some share by the old view and
/// some by the new one, and a server's parts can add up to more than its concurrency: its callers
/// wait in the server. Over all servers that is little, and on no server more than as much again.
#[test_case(0..40, 1..40, 0 ; "one is gone")]
#[test_case(1..40, 0..40, 2 ; "one came")]
#[test_case(0..40, 4..40, 2 ; "a zone is gone")]
#[test_case(4..40, 0..40, 10 ; "a zone came")]
#[test_case(0..40, 20..40, 2 ; "half is gone")]
fn a_change_of_the_view_over_commits_little(before: Range<usize>, after: Range<usize>, most: u32) {
    let servers = servers(590, SLOTS);
    let all = instances(40);
    let (before, after) = (&all[before], &all[after]);
    let mixed = after.iter().enumerate().map(|(number, &me)| {
        // Who came knows that it did.
        let late = number % 2 == 0 && before.contains(&me);
        let view = if late { before } else { after };
        limits(&reach(&servers, view, me, 8), &servers)
    });
    let mixed: Vec<_> = mixed.collect();
    let over = (0..servers.len()).map(|at| sum(&mixed, at).saturating_sub(SLOTS));
    let over: Vec<u32> = over.collect();
    let percent = 100 * over.iter().sum::<u32>() / (SLOTS * servers.len() as u32);
    let highest = over.iter().copied().max().unwrap_or(0);
    println!("over-committed {percent}%, most on one server {highest} of {SLOTS}");
    assert!(percent <= most, "{percent}");
    assert!(highest <= SLOTS, "{highest}");
}

/// An instance that is killed leaves its servers to others; a server that nobody takes over would
/// idle while the rest overflow.
#[test]
fn a_lost_instance_is_made_up_for() {
    let servers = servers(60, SLOTS);
    let before = instances(12);
    for gone in 0..before.len() {
        let mut live = before.clone();
        live.remove(gone);
        let all: Vec<_> = live
            .iter()
            .map(|&me| limits(&reach(&servers, &live, me, 2), &servers))
            .collect();
        for at in 0..servers.len() {
            assert_eq!(sum(&all, at), SLOTS, "{at} without {gone}");
        }
    }
}

/// All servers of the subset are gone while hundreds of others are idle. Requests must reach those
/// within seconds, at most one at a time on each, and the way back is taken step by step.
#[test]
fn a_dead_subset_is_widened_until_all_are_in_reach() {
    let servers = servers(590, SLOTS);
    let live = instances(40);
    let mut reach = reach(&servers, &live, live[3], 1);
    let own: Vec<_> = reach.allotted().to_vec();
    let mut now = NOW;
    assert!(reach.on_shortage(Shortage::Down, now), "at once");
    assert!(
        !reach.on_shortage(Shortage::Down, now),
        "but one step at a time"
    );
    assert!(borrowed(&reach) >= own.len() / 2);
    assert_eq!(reach.own(), own.len(), "the own part stays as it is");
    let mut steps = 1;
    while !reach.is_whole() {
        now += Millis(2_000);
        assert!(reach.on_shortage(Shortage::Down, now));
        steps += 1;
    }
    println!("{steps} steps to all servers");
    assert!(steps <= 6, "{steps}");
    let mut narrowed = 0;
    while reach.is_widened() {
        now += Millis(500);
        narrowed += u32::from(reach.on_relief(true, now));
        assert!(now < NOW + Millis::from_secs(80));
    }
    assert_eq!(narrowed, steps);
    assert_eq!(reach.allotted(), own);
}

/// All instances are full in an overload. If each went on looking for slots further out, every
/// server would get a request more from each instance of the fleet.
#[test]
fn fullness_widens_by_one_step_and_not_at_once() {
    let servers = servers(590, SLOTS);
    let live = instances(40);
    let mut reach = reach(&servers, &live, live[3], 1);
    assert!(!reach.on_shortage(Shortage::Full, NOW));
    assert!(!reach.on_relief(true, NOW + Millis(900)));
    assert!(
        !reach.on_shortage(Shortage::Full, NOW + Millis(1_100)),
        "it had eased"
    );
    assert!(reach.on_shortage(Shortage::Full, NOW + Millis(2_200)));
    assert!(!reach.on_shortage(Shortage::Full, NOW + Millis(9_000)));
    assert!(!reach.on_shortage(Shortage::Full, NOW + Millis(12_000)));
    // Two senders a server in place of one: 590 x 2 / 40, and a quarter.
    assert!(borrowed(&reach) <= 37, "{}", borrowed(&reach));
    assert!(!reach.on_relief(false, NOW + Millis(30_000)), "still full");
    assert!(!reach.on_relief(true, NOW + Millis(30_500)));
    assert!(!reach.on_relief(true, NOW + Millis(40_200)));
    assert!(reach.on_relief(true, NOW + Millis(40_500)));
    assert!(!reach.is_widened());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    // Callers would wait in servers that hold more than they can run, or be refused beside idle
    // ones. Any two views, each held by any of the instances: no server gets more than twice its
    // slots, every server has senders, and where all agree the parts add up exactly.
    #[test]
    fn any_two_views(
        size in 5..70_usize,
        senders in 1..9_usize,
        concurrency in 8..40_u32,
        views in prop::collection::vec(prop::sample::subsequence(instances(14), 5..=14), 2),
        held in prop::collection::vec(0..2_usize, 14),
    ) {
        let servers = servers(size, concurrency);
        let limits_in = |live: &[u64], me| limits(&reach(&servers, live, me, senders), &servers);
        for live in &views {
            let all: Vec<_> = live.iter().map(|&me| limits_in(live, me)).collect();
            let using = |at: usize| all.iter().filter(|limits| limits[at] > 0).count();
            for at in 0..size {
                prop_assert!(sum(&all, at) >= concurrency);
                prop_assert!(sum(&all, at) <= concurrency.max(using(at) as u32));
            }
            prop_assert!(all.iter().all(|limits| limits.iter().any(|&limit| limit > 0)));
        }
        let ids: BTreeSet<u64> = views.iter().flatten().copied().collect();
        let mixed = ids.iter().zip(&held).filter_map(|(&me, &view)| {
            let live = &views[view];
            live.contains(&me).then(|| limits_in(live, me))
        });
        let mixed: Vec<_> = mixed.collect();
        for at in 0..size {
            // The remainder of a division, rounded up on each side, is the rest of the bound.
            prop_assert!(sum(&mixed, at) <= 2 * concurrency.max(14));
        }
    }
}
