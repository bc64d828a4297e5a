//! Which peer a request is relayed to, as a state machine.

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::RegionKey;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

use crate::fleet::short_hash;

/// How long a peer isn't asked after it couldn't send a request. Paths are tested twice a second.
const UNABLE_BACKOFF: Millis = Millis(500);

/// How long a peer isn't asked after it couldn't be reached.
const FAILURE_BACKOFF: Millis = Millis(1000);

/// Another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// Its internal address.
    pub address: SocketAddr,
    /// Whether it is in this instance's availability zone.
    pub same_zone: bool,
    /// Its region, if known.
    pub region: Option<RegionKey>,
}

/// The peers that may take this instance's requests.
#[derive(Clone, Debug)]
pub struct RelayPeers {
    peers: Vec<RelayPeer>,
    /// Peers that aren't asked before these times.
    backoffs: HashMap<SocketAddr, Millis>,
    /// Peers that aren't asked for a service before these times, by the hash of its name.
    unaware: HashMap<(SocketAddr, u32), Millis>,
    /// Number of requests at each peer.
    running: HashMap<SocketAddr, u32>,
    rng: Xoshiro256PlusPlus,
}

impl RelayPeers {
    /// No peers. The seed should differ between instances.
    pub fn new(seed: u64) -> RelayPeers {
        RelayPeers {
            peers: Vec::new(),
            backoffs: HashMap::new(),
            unaware: HashMap::new(),
            running: HashMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Sets the live peers.
    pub fn set(&mut self, peers: Vec<RelayPeer>) {
        self.peers = peers;
    }

    /// Whether there are no peers.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Chooses a peer that isn't among `tried` for a request that may run in `regions`, and counts
    /// the request there until [`RelayPeers::done`].
    ///
    /// Peers of this availability zone are preferred as long as none of them was unable: what cuts
    /// off this instance often cuts off its zone.
    pub fn choose(
        &mut self,
        tried: &[SocketAddr],
        regions: Option<&[RegionKey]>,
        now: Millis,
    ) -> Option<SocketAddr> {
        self.backoffs.retain(|_, until| now < *until);
        let doubted = |peer: &RelayPeer| {
            self.backoffs.contains_key(&peer.address) || tried.contains(&peer.address)
        };
        let zone_is_sound = !self
            .peers
            .iter()
            .any(|peer| peer.same_zone && doubted(peer));
        let allowed = |peer: &&RelayPeer| {
            let in_region =
                |regions: &[RegionKey]| peer.region.is_some_and(|region| regions.contains(&region));
            !doubted(peer) && regions.is_none_or(in_region)
        };
        let candidates: Vec<RelayPeer> = self.peers.iter().filter(allowed).copied().collect();
        let near = candidates.iter().filter(|peer| peer.same_zone);
        let far = candidates.iter().filter(|peer| !peer.same_zone);
        let (near, far): (Vec<_>, Vec<_>) = (near.collect(), far.collect());
        let preferred = match (zone_is_sound, near.is_empty(), far.is_empty()) {
            (true, false, _) | (_, false, true) => near,
            _ => far,
        };
        let draws = [0; 2].map(|_| match preferred.len() {
            0 => None,
            count => Some(preferred[self.rng.random_range(0..count)].address),
        });
        let running = |peer: &SocketAddr| self.running.get(peer).copied().unwrap_or_default();
        let best = draws.into_iter().flatten().min_by_key(running)?;
        *self.running.entry(best).or_default() += 1;
        Some(best)
    }

    /// Records that a request at a peer has ended.
    pub fn done(&mut self, peer: SocketAddr) {
        let Some(running) = self.running.get_mut(&peer) else {
            return;
        };
        *running = running.saturating_sub(1);
        if *running == 0 {
            self.running.remove(&peer);
        }
    }

    /// Records that a peer can't send requests to the servers.
    pub fn record_unable(&mut self, peer: SocketAddr, now: Millis) {
        self.backoffs.insert(peer, now + UNABLE_BACKOFF);
    }

    /// Records that a peer knows no server of a service that this instance has none of either.
    pub fn record_unaware(&mut self, peer: SocketAddr, service: &str, now: Millis) {
        let key = (peer, short_hash(service));
        self.unaware.insert(key, now + UNABLE_BACKOFF);
    }

    /// The peers that recently knew no server of a service.
    pub fn unaware(&mut self, service: &str, now: Millis) -> Vec<SocketAddr> {
        self.unaware.retain(|_, until| now < *until);
        let service = short_hash(service);
        let known = self.unaware.keys();
        let peers = known.filter(|(_, known)| *known == service);
        peers.map(|(peer, _)| *peer).collect()
    }

    /// Records that a peer couldn't be reached.
    pub fn record_failure(&mut self, peer: SocketAddr, now: Millis) {
        self.backoffs.insert(peer, now + FAILURE_BACKOFF);
    }
}
