//! Tests of which servers an instance uses as instances come and go, and while its servers can't
//! serve.

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

/// Number of servers that an instance should have.
const TARGET_SERVERS: usize = 8;

const NOW: Millis = Millis(1_000);

fn servers(count: usize, concurrency: u32) -> Vec<ServerSpec> {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let specs = (0..count).map(|at| ServerSpec {
        key: keys.insert(()),
        id: 1 + at as u64 * 1_000_003,
        zone: String::new(),
        region: None,
        software: None,
        concurrency,
        models: Vec::new(),
    });
    specs.collect()
}

fn instances(count: u64) -> Vec<u64> {
    (0..count).map(|at| 2 + at * 7_919).collect()
}

fn server_subset(
    servers: &[ServerSpec],
    live: &[u64],
    local_id: u64,
    senders: usize,
) -> ServerSubset {
    let mut server_subset = ServerSubset::new(senders);
    server_subset.set_servers(servers, TARGET_SERVERS);
    let index = live.iter().position(|&id| id == local_id).unwrap_or(0);
    server_subset.set_fleet(&EntryFleet {
        instances: live.to_vec(),
        local_id,
        share: Share {
            instances: live.len() as u32,
            index: index as u32,
        },
    });
    server_subset
}

/// The maximum number of requests of an instance in flight on each server.
fn limits(server_subset: &ServerSubset, servers: &[ServerSpec]) -> Vec<u32> {
    let mut limits = vec![0; servers.len()];
    for &(at, allotment) in server_subset.allotted() {
        limits[at] = allotment.of(servers[at].concurrency, servers[at].id);
    }
    limits
}

fn sum(all: &[Vec<u32>], at: usize) -> u32 {
    all.iter().map(|limits| limits[at]).sum()
}

fn borrowed(server_subset: &ServerSubset) -> usize {
    let all = server_subset.allotted().iter();
    all.filter(|(_, allotment)| *allotment == Allotment::Borrowed)
        .count()
}

/// In fleets of today's size, all instances use all servers with an equal share, so an upgrade
/// moves nothing.
#[test_case(1, 20)]
#[test_case(6, 10)]
#[test_case(8, 20)]
#[test_case(8, 500)]
fn a_small_fleet_uses_all_servers(count: u64, size: usize) {
    let servers = servers(size, 2);
    let live = instances(count);
    for (index, &me) in live.iter().enumerate() {
        let server_subset = server_subset(&servers, &live, me, 8);
        let share = Share {
            instances: count as u32,
            index: index as u32,
        };
        assert!(server_subset.is_whole());
        let mut all = server_subset.allotted().iter();
        assert!(all.all(|(_, allotment)| *allotment == Allotment::Own(share)));
    }
}

/// Guards against more senders than slots. Each sender has at least one slot, so a server of 16
/// slots with 100 senders would get 100 requests at a time and queue them without regard to their
/// class.
#[test_case(100, 60 ; "all wanted by all")]
#[test_case(400, 151 ; "a model of the large fleet")]
fn no_server_has_more_senders_than_slots(count: u64, size: usize) {
    let servers = servers(size, SLOTS);
    let live = instances(count);
    let all = live.iter();
    let all: Vec<_> = all
        .map(|&me| limits(&server_subset(&servers, &live, me, 8), &servers))
        .collect();
    for at in 0..size {
        assert_eq!(sum(&all, at), SLOTS, "{at}");
    }
    let served = all
        .iter()
        .all(|limits| limits.iter().any(|&limit| limit > 0));
    assert!(served, "an instance without servers refuses all requests");
}

/// Guards against instances without servers. With 80 slots for 400 instances, most would have no
/// server or a single one, whose crash leaves their callers without any until the subset is
/// widened. In such a service each server gets more senders.
#[test]
fn an_instance_has_several_servers_of_a_small_service() {
    let servers = servers(5, SLOTS);
    let live = instances(400);
    let own = live
        .iter()
        .map(|&me| server_subset(&servers, &live, me, 8).own());
    assert!(own.min() >= Some(3));
}

/// Guards against overcommitted servers while instances learn of a change at different times. Some
/// then compute their shares from the old view and some from the new one, so a server's shares can
/// exceed its concurrency and callers wait in the server. The excess is small over all servers, and
/// at most the concurrency on any of them.
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
        // A new instance knows its own arrival.
        let late = number % 2 == 0 && before.contains(&me);
        let view = if late { before } else { after };
        limits(&server_subset(&servers, view, me, 8), &servers)
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

/// Guards against idle servers after an instance was killed. Other instances must take over its
/// servers.
#[test]
fn a_lost_instance_is_replaced() {
    let servers = servers(60, SLOTS);
    let before = instances(12);
    for lost in 0..before.len() {
        let mut live = before.clone();
        live.remove(lost);
        let all: Vec<_> = live
            .iter()
            .map(|&me| limits(&server_subset(&servers, &live, me, 2), &servers))
            .collect();
        for at in 0..servers.len() {
            assert_eq!(sum(&all, at), SLOTS, "{at} without {lost}");
        }
    }
}

/// Guards against an outage when all servers of a subset are gone while hundreds of others are
/// idle. Requests must reach those within seconds, at most one at a time on each, and the subset is
/// narrowed again step by step.
#[test]
fn an_unavailable_subset_is_widened_to_all_servers() {
    let servers = servers(590, SLOTS);
    let live = instances(40);
    let mut server_subset = server_subset(&servers, &live, live[3], 1);
    let own: Vec<_> = server_subset.allotted().to_vec();
    let mut now = NOW;
    assert!(
        server_subset.on_shortage(Shortage::Down, now),
        "the first step is immediate"
    );
    assert!(
        !server_subset.on_shortage(Shortage::Down, now),
        "one step at a time"
    );
    assert!(borrowed(&server_subset) >= own.len() / 2);
    assert_eq!(server_subset.own(), own.len(), "the assigned servers stay");
    let mut steps = 1;
    while !server_subset.is_whole() {
        now += Millis(2_000);
        assert!(server_subset.on_shortage(Shortage::Down, now));
        steps += 1;
    }
    println!("{steps} steps to all servers");
    assert!(steps <= 6, "{steps}");
    let mut narrowed = 0;
    while server_subset.is_widened() {
        now += Millis(500);
        narrowed += u32::from(server_subset.on_relief(true, now));
        assert!(now < NOW + Millis::from_secs(80));
    }
    assert_eq!(narrowed, steps);
    assert_eq!(server_subset.allotted(), own);
}

/// Guards against borrowing under overload. All instances are full; if each kept searching for
/// slots, every server would get one more request from each instance.
#[test]
fn fullness_widens_by_one_step_and_not_at_once() {
    let servers = servers(590, SLOTS);
    let live = instances(40);
    let mut server_subset = server_subset(&servers, &live, live[3], 1);
    assert!(!server_subset.on_shortage(Shortage::Full, NOW));
    assert!(!server_subset.on_relief(true, NOW + Millis(900)));
    assert!(
        !server_subset.on_shortage(Shortage::Full, NOW + Millis(1_100)),
        "the shortage was relieved"
    );
    assert!(server_subset.on_shortage(Shortage::Full, NOW + Millis(2_200)));
    assert!(!server_subset.on_shortage(Shortage::Full, NOW + Millis(9_000)));
    assert!(!server_subset.on_shortage(Shortage::Full, NOW + Millis(12_000)));
    // Two senders per server instead of one: 590 x 2 / 40, plus a quarter.
    assert!(
        borrowed(&server_subset) <= 37,
        "{}",
        borrowed(&server_subset)
    );
    assert!(
        !server_subset.on_relief(false, NOW + Millis(30_000)),
        "still full"
    );
    assert!(!server_subset.on_relief(true, NOW + Millis(30_500)));
    assert!(!server_subset.on_relief(true, NOW + Millis(40_200)));
    assert!(server_subset.on_relief(true, NOW + Millis(40_500)));
    assert!(!server_subset.is_widened());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    // Guards against overfull servers while others are idle. With any two views, each held by any
    // of the instances, no server gets more than twice its slots and every server has senders;
    // where all agree, the shares add up exactly.
    #[test]
    fn any_two_views(
        size in 5..70_usize,
        senders in 1..9_usize,
        concurrency in 8..40_u32,
        views in prop::collection::vec(prop::sample::subsequence(instances(14), 5..=14), 2),
        view_indices in prop::collection::vec(0..2_usize, 14),
    ) {
        let servers = servers(size, concurrency);
        let limits_in =
            |live: &[u64], me| limits(&server_subset(&servers, live, me, senders), &servers);
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
        let mixed = ids.iter().zip(&view_indices).filter_map(|(&me, &view)| {
            let live = &views[view];
            live.contains(&me).then(|| limits_in(live, me))
        });
        let mixed: Vec<_> = mixed.collect();
        for at in 0..size {
            // The rest of the bound covers the remainder of a division, rounded up on each side.
            prop_assert!(sum(&mixed, at) <= 2 * concurrency.max(14));
        }
    }
}
