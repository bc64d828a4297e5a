//! Which servers of a large group an entry instance sends to.
//!
//! With hundreds of entry instances, each server's concurrency would split into shares below one,
//! and every instance would hold connections and state for every server. So each instance uses a
//! subset, worked out alone from the identities in the instance list.

use twox_hash::XxHash3_64;

/// How far an instance's subset may exceed the mean, as a ratio.
const SLACK: f64 = 1.05;

/// How many instances each server is covered by, when every instance is to have about `want` of
/// the group's servers.
pub fn coverage(servers: usize, instances: usize, want: usize) -> usize {
    let total = instances * want.min(servers);
    total.div_ceil(servers.max(1)).clamp(1, instances.max(1))
}

/// The indices into `servers` that instance `me` sends to, ascending.
///
/// Each server is covered by exactly [`coverage`] instances: those that rank highest for it by
/// rendezvous hashing, those whose subset holds 1.05 times the mean only after the others. So every
/// server gets the same number of senders, and an instance that comes or goes moves little beyond
/// its own part. The result depends on the identities alone, not on their order;
/// an instance that isn't listed among `instances` is taken to be.
///
/// Call it for each group of servers that hold the same model, or an instance may end up without a
/// server for some model.
pub fn subset(servers: &[u64], instances: &[u64], me: u64, want: usize) -> Vec<usize> {
    let mut peers = instances.to_vec();
    peers.push(me);
    peers.sort_unstable();
    peers.dedup();
    let cover = coverage(servers.len(), peers.len(), want);
    let mean = (servers.len() * cover) as f64 / peers.len() as f64;
    let mut room = vec![(mean * SLACK).ceil() as usize; peers.len()];
    let mut order: Vec<usize> = (0..servers.len()).collect();
    // By hash rather than by identity, so that a newcomer's place in the order is arbitrary and the
    // full subsets that it meets are too.
    order.sort_unstable_by_key(|&at| (rank(servers[at], 0), servers[at]));
    let mut ranked = Vec::with_capacity(peers.len());
    let mut mine = Vec::new();
    for at in order {
        ranked.clear();
        ranked.extend((0..peers.len()).map(|peer| Candidate {
            full: room[peer] == 0,
            rank: rank(servers[at], peers[peer]),
            peer,
        }));
        for &Candidate { peer, .. } in first(&mut ranked, cover) {
            room[peer] = room[peer].saturating_sub(1);
            if peers[peer] == me {
                mine.push(at);
            }
        }
    }
    mine.sort_unstable();
    mine
}

/// An instance as a candidate for one server. The order puts those with room first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    full: bool,
    rank: u64,
    peer: usize,
}

/// The first `count` candidates, in no order.
fn first(candidates: &mut [Candidate], count: usize) -> &[Candidate] {
    if count < candidates.len() {
        candidates.select_nth_unstable(count);
    }
    &candidates[..count.min(candidates.len())]
}

fn rank(server: u64, instance: u64) -> u64 {
    XxHash3_64::oneshot_with_seed(instance, &server.to_le_bytes())
}
