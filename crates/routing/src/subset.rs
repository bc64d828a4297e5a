//! Assigns each entry instance a subset of a large group of servers.
//!
//! With hundreds of entry instances, each server's concurrency would be divided into shares below
//! one, and every instance would hold connections and state for every server. So each instance uses
//! a subset, which it computes on its own from the identities in the instance list.

use twox_hash::XxHash3_64;

use crate::server::Share;

/// How far a subset's size may differ from the mean, as a fraction of the mean; at least one
/// server.
const BALANCE_SLACK: f64 = 0.25;

/// Returns the number of instances that cover each server if every instance should have about
/// `want` of the group's servers.
pub fn coverage(servers: usize, instances: usize, want: usize) -> usize {
    let total = instances * want.min(servers);
    let rounded = (total + servers / 2) / servers.max(1);
    rounded.clamp(1, instances.max(1))
}

/// Returns the ascending indices into `servers` of the servers that instance `local_id` sends to.
///
/// Each server is covered by exactly [`coverage`] instances, those that rank highest for it by
/// rendezvous hashing. Instances whose subsets are behind the mean go first, those ahead of it
/// last. So every server has the same number of senders, the subsets have about the same size, and
/// an instance or a server that comes or goes changes little beyond its own part. The result
/// depends only on the identities, not on their order. `local_id` counts even if it isn't listed.
///
/// Call it for each group of servers that hold the same model. Otherwise an instance may have no
/// server for some model.
pub fn subset(servers: &[u64], instances: &[u64], local_id: u64, want: usize) -> Vec<usize> {
    let peers = members(instances, local_id);
    let cover = coverage(servers.len(), peers.len(), want);
    let sender_counts = vec![cover; servers.len()];
    let own = assign(servers, &sender_counts, &peers, local_id);
    own.into_iter().map(|(index, _)| index).collect()
}

/// Returns the sorted identities of all instances including `local_id`, without duplicates.
pub(crate) fn members(instances: &[u64], local_id: u64) -> Vec<u64> {
    let mut peers = instances.to_vec();
    peers.push(local_id);
    peers.sort_unstable();
    peers.dedup();
    peers
}

/// Returns the servers of `local_id` by ascending index, with its share among each one's senders.
/// `sender_counts` gives the number of senders of each server. `peers` come from [`members`].
pub(crate) fn assign(
    servers: &[u64],
    sender_counts: &[usize],
    peers: &[u64],
    local_id: u64,
) -> Vec<(usize, Share)> {
    let total: usize = sender_counts.iter().sum();
    let slack = (total as f64 / peers.len() as f64 * BALANCE_SLACK).max(1.0);
    let mut sizes = vec![0_usize; peers.len()];
    let mut ranked = Vec::with_capacity(peers.len());
    let mut own = Vec::new();
    let mut assigned = 0;
    for index in hash_order(servers) {
        assigned += sender_counts[index];
        let mean = assigned as f64 / peers.len() as f64;
        ranked.clear();
        ranked.extend((0..peers.len()).map(|peer| Candidate {
            balance: Balance::of(sizes[peer] as f64, mean, slack),
            rank: rank(servers[index], peers[peer]),
            peer,
        }));
        let senders = best(&mut ranked, sender_counts[index]);
        for &Candidate { peer, .. } in senders {
            sizes[peer] += 1;
            if peers[peer] == local_id {
                own.push((index, share(senders, peer)));
            }
        }
    }
    own.sort_unstable_by_key(|&(index, _)| index);
    own
}

/// Returns the share of one of a server's senders, which are numbered by identity.
fn share(senders: &[Candidate], peer: usize) -> Share {
    let before = senders.iter().filter(|sender| sender.peer < peer).count();
    Share {
        instances: senders.len() as u32,
        index: before as u32,
    }
}

/// Returns the indices of the servers in the order of a hash, so that the position of a new server
/// is arbitrary.
fn hash_order(servers: &[u64]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.sort_unstable_by_key(|&index| (rank(servers[index], 0), servers[index]));
    order
}

/// How the size of an instance's subset compares with the mean so far.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Balance {
    Behind,
    Even,
    Ahead,
}

impl Balance {
    fn of(size: f64, mean: f64, slack: f64) -> Balance {
        if size + slack < mean {
            Balance::Behind
        } else if size < mean + slack {
            Balance::Even
        } else {
            Balance::Ahead
        }
    }
}

/// An instance as a candidate for one server, ordered by preference.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    balance: Balance,
    rank: u64,
    peer: usize,
}

/// Returns the `count` best candidates in no particular order.
fn best(candidates: &mut [Candidate], count: usize) -> &[Candidate] {
    if count < candidates.len() {
        candidates.select_nth_unstable(count);
    }
    &candidates[..count.min(candidates.len())]
}

fn rank(server: u64, instance: u64) -> u64 {
    XxHash3_64::oneshot_with_seed(instance, &server.to_le_bytes())
}
