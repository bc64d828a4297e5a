//! Four instances in front of more servers than each instance uses.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use crocushold_standins::Handle;
use crocushold_standins::PlainService;
use crocushold_standins::ServiceCommand;

use crate::support::Balancer;
use crate::support::Call;
use crate::support::Entry;
use crate::support::Fleet;
use crate::support::Load;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::wait;

const INSTANCES: usize = 4;

const SERVERS: usize = 24;

/// Number of polls over all servers after which the rates are compared.
const POLLS: u64 = 100;

/// Time within which the other instances take over the servers of a lost instance.
const TAKEOVER_BOUND: Duration = Duration::from_secs(15);

fn site() -> Site {
    Site::start(&SiteSettings {
        services: SERVERS,
        concurrency: 64,
        senders: 1,
        ..SiteSettings::default()
    })
}

fn servers(site: &Site) -> impl Iterator<Item = &Handle<PlainService>> {
    [&site.service].into_iter().chain(&site.other_services)
}

/// Returns a server by its name in the status document.
fn server<'a>(site: &'a Site, name: &str) -> &'a Handle<PlainService> {
    let number = name.rsplit('-').next().unwrap();
    servers(site).nth(number.parse().unwrap()).unwrap()
}

/// Returns the number of calls that a server received.
fn calls(site: &Site, name: &str) -> u64 {
    server(site, name).stats().calls
}

/// Returns the servers of the plain service that an instance uses.
fn subset(entry: &Entry) -> Vec<String> {
    let servers = entry.status().servers.into_iter();
    let subset = servers.filter(|server| server.service == "team/booking");
    subset.map(|server| server.server).collect()
}

/// Returns the number of instances that use each server.
fn senders(fleet: &Fleet<'_>) -> BTreeMap<String, usize> {
    let mut senders = BTreeMap::new();
    for server in fleet.running().flat_map(subset) {
        *senders.entry(server).or_insert(0) += 1;
    }
    senders
}

fn has_one_sender_each(fleet: &Fleet<'_>) -> bool {
    let senders = senders(fleet);
    senders.len() == SERVERS && senders.values().all(|&count| count == 1)
}

/// Four instances share 24 servers, one instance per server, and one instance is killed under load.
/// Its callers see their connections end. Nobody else is cut or refused, nothing runs twice, and
/// its servers get work from the other instances, which don't poll more than their subsets.
#[test]
fn a_lost_instance_leaves_no_server_without_work() {
    let site = site();
    let mut fleet = Fleet::start(&site, INSTANCES);
    fleet.wait_converged();
    wait("each server has one sender", || has_one_sender_each(&fleet));
    let balancer = Balancer::start();
    let backends: Vec<_> = fleet.running().map(|entry| balancer.add(entry)).collect();
    let load = Load::start(&site, balancer.address);
    wait("each server gets work", || {
        servers(&site).all(|server| server.stats().calls > 0)
    });
    let orphaned = subset(fleet.entry(2));
    fleet.kill(2);
    let killed = Instant::now();
    fleet.wait_converged();
    wait("each server has one sender again", || {
        has_one_sender_each(&fleet)
    });
    let took = killed.elapsed();
    let before: Vec<u64> = orphaned.iter().map(|name| calls(&site, name)).collect();
    wait("its servers get work again", || {
        let mut all = orphaned.iter().zip(&before);
        all.all(|(name, &before)| calls(&site, name) > before)
    });
    let totals = load.stop();
    totals.print("subsets");
    println!("subsets: {} servers taken over in {took:?}", orphaned.len());
    totals.assert_invariants();
    assert!(took < TAKEOVER_BOUND, "{took:?}");
    assert!(totals.cut() <= backends[2].cut(), "{}", totals.cut());
    for class in &totals.classes {
        assert_eq!(class.refused, 0, "{class:?}");
    }
}

/// Every instance used to poll every server, so that with 400 instances a server would have
/// answered 800 polls per second. With one sender per server, a server is polled at most once a
/// second.
#[test]
fn a_server_is_polled_by_its_senders_only() {
    let site = site();
    let fleet = Fleet::start(&site, INSTANCES);
    fleet.wait_converged();
    wait("each server has one sender", || has_one_sender_each(&fleet));
    let polls = || servers(&site).map(|server| server.stats().polls);
    let before: Vec<u64> = polls().collect();
    let start = Instant::now();
    wait("servers were polled", || {
        polls().sum::<u64>() >= before.iter().sum::<u64>() + POLLS
    });
    let after: Vec<u64> = polls().collect();
    let most = start.elapsed().as_secs() + 2;
    let new = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after - before);
    let new: Vec<u64> = new.collect();
    println!("subsets: polls {new:?} in {:?}", start.elapsed());
    assert!(new.iter().all(|&polls| polls <= most), "{new:?}, {most}");
}

/// Every server of an instance's subset refuses connections, while the servers of the other
/// instances are idle. The instance's callers are served by those; none is refused because of the
/// subset.
#[test]
fn a_dead_subset_refuses_no_caller() {
    let site = site();
    let fleet = Fleet::start(&site, INSTANCES);
    fleet.wait_converged();
    wait("each server has one sender", || has_one_sender_each(&fleet));
    let own = subset(fleet.entry(1));
    for name in &own {
        let crash = server(&site, name).command(ServiceCommand::Crash);
        task::block_on(crash).unwrap();
    }
    for number in 0..40 {
        let marker = format!("dead-{number}");
        let answer = call(fleet.entry(1).listen, &Call::booking(&marker)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(site.effects(&marker), 1);
    }
    assert!(subset(fleet.entry(1)).len() > own.len());
    println!("subsets: {} of {SERVERS} servers dead", own.len());
}
