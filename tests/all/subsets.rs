//! Four instances before more servers than each is to use.

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

/// Polls over all servers after which their rates are compared.
const POLLS: u64 = 100;

/// Within this time the others have taken over a lost instance's servers.
const COVERED: Duration = Duration::from_secs(15);

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

/// A server by its name in the status.
fn server<'a>(site: &'a Site, name: &str) -> &'a Handle<PlainService> {
    let number = name.rsplit('-').next().unwrap();
    servers(site).nth(number.parse().unwrap()).unwrap()
}

/// Calls that a server got.
fn calls(site: &Site, name: &str) -> u64 {
    server(site, name).stats().calls
}

/// The servers of the plain service that an instance uses.
fn used(entry: &Entry) -> Vec<String> {
    let servers = entry.status().servers.into_iter();
    let used = servers.filter(|server| server.service == "team/booking");
    used.map(|server| server.server).collect()
}

/// How many instances use each server.
fn senders(fleet: &Fleet<'_>) -> BTreeMap<String, usize> {
    let mut senders = BTreeMap::new();
    for server in fleet.running().flat_map(used) {
        *senders.entry(server).or_insert(0) += 1;
    }
    senders
}

fn is_covered_once(fleet: &Fleet<'_>) -> bool {
    let senders = senders(fleet);
    senders.len() == SERVERS && senders.values().all(|&count| count == 1)
}

/// Four instances share 24 servers, one for each server, and one instance is killed under load. Its
/// callers see their connections end; nobody else is cut or refused, nothing runs twice, and its
/// servers get work from the others, who don't poll more than their part.
#[test]
fn a_lost_instance_leaves_no_server_without_work() {
    let site = site();
    let mut fleet = Fleet::start(&site, INSTANCES);
    fleet.wait_converged();
    wait("each server has one sender", || is_covered_once(&fleet));
    let balancer = Balancer::start();
    let backends: Vec<_> = fleet.running().map(|entry| balancer.add(entry)).collect();
    let load = Load::start(&site, balancer.address);
    wait("each server gets work", || {
        servers(&site).all(|server| server.stats().calls > 0)
    });
    let victim = used(fleet.entry(2));
    fleet.kill(2);
    let killed = Instant::now();
    fleet.wait_converged();
    wait("each server has one sender again", || {
        is_covered_once(&fleet)
    });
    let took = killed.elapsed();
    let before: Vec<u64> = victim.iter().map(|name| calls(&site, name)).collect();
    wait("its servers get work again", || {
        let mut all = victim.iter().zip(&before);
        all.all(|(name, &before)| calls(&site, name) > before)
    });
    let totals = load.stop();
    totals.print("subsets");
    println!("subsets: {} servers taken over in {took:?}", victim.len());
    totals.assert_invariants();
    assert!(took < COVERED, "{took:?}");
    assert!(totals.cut() <= backends[2].cut(), "{}", totals.cut());
    for class in &totals.classes {
        assert_eq!(class.refused, 0, "{class:?}");
    }
}

/// Every instance polled every server, so that at 400 instances a server would answer 800 polls a
/// second. With one sender a server it is polled once a second at most.
#[test]
fn a_server_is_polled_by_its_senders_only() {
    let site = site();
    let fleet = Fleet::start(&site, INSTANCES);
    fleet.wait_converged();
    wait("each server has one sender", || is_covered_once(&fleet));
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

/// Every server that an instance uses refuses connections, while those that the other instances use
/// are idle. Its callers are served by these; none is refused for the instance's own subset.
#[test]
fn a_dead_subset_refuses_no_caller() {
    let site = site();
    let fleet = Fleet::start(&site, INSTANCES);
    fleet.wait_converged();
    wait("each server has one sender", || is_covered_once(&fleet));
    let own = used(fleet.entry(1));
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
    assert!(used(fleet.entry(1)).len() > own.len());
    println!("subsets: {} of {SERVERS} servers dead", own.len());
}
