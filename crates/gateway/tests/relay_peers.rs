//! Tests of the choice of an instance to relay a request to.

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::RelayPeer;
use crocushold_gateway::RelayPeers;
use crocushold_routing::RegionKey;

const START: Millis = Millis(1000);

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7340).into()
}

fn peer(number: u8, same_zone: bool) -> RelayPeer {
    RelayPeer {
        address: address(number),
        same_zone,
        region: Some(RegionKey::new(if number < 100 { "here" } else { "abroad" })),
    }
}

fn peers(near: u8, far: u8) -> RelayPeers {
    let mut peers = RelayPeers::new(1);
    let near = (0..near).map(|number| peer(number, true));
    let far = (50..50 + far).map(|number| peer(number, false));
    peers.set(near.chain(far).collect());
    peers
}

/// Guards against traffic between availability zones without need.
#[test]
fn peers_of_the_own_zone_are_preferred() {
    let mut peers = peers(3, 30);
    for _ in 0..100 {
        let chosen = peers.choose(&[], None, START).unwrap();
        assert!(chosen < address(50));
    }
}

/// Guards against asking one instance after another of a zone that is cut off as a whole.
#[test]
fn after_one_unable_peer_the_zone_is_doubted() {
    let mut peers = peers(30, 3);
    let first = peers.choose(&[], None, START).unwrap();
    peers.record_unable(first, START);
    let second = peers.choose(&[first], None, START).unwrap();
    assert!(second >= address(50));
    let later = START + Millis(1000);
    assert!(peers.choose(&[], None, later).unwrap() < address(50));
}

/// Guards against giving up while an instance of the own zone is left.
#[test]
fn a_doubted_zone_is_asked_if_there_is_no_other() {
    let mut peers = peers(2, 0);
    let first = peers.choose(&[], None, START).unwrap();
    peers.record_unable(first, START);
    let second = peers.choose(&[first], None, START).unwrap();
    assert_ne!(first, second);
    peers.record_failure(second, START);
    assert_eq!(peers.choose(&[first, second], None, START), None);
}

/// Guards against a body that leaves the regions in which its request may run.
#[test]
fn requests_stay_in_their_regions() {
    let mut peers = RelayPeers::new(1);
    peers.set(vec![peer(1, false), peer(100, true)]);
    let regions = [RegionKey::new("here")];
    for _ in 0..10 {
        let chosen = peers.choose(&[], Some(&regions), START);
        assert_eq!(chosen, Some(address(1)));
    }
    let nowhere = [RegionKey::new("elsewhere")];
    assert_eq!(peers.choose(&[], Some(&nowhere), START), None);
}

/// Guards against one peer that gets most of the requests.
#[test]
fn requests_are_spread_by_load() {
    let mut peers = peers(5, 0);
    let mut counts: HashMap<SocketAddr, u32> = HashMap::new();
    for _ in 0..500 {
        let chosen = peers.choose(&[], None, START).unwrap();
        *counts.entry(chosen).or_default() += 1;
    }
    assert!(
        counts.values().all(|&count| (90..=110).contains(&count)),
        "{counts:?}"
    );
}
