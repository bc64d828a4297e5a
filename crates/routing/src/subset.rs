//! Which servers of a large group an entry instance sends to.
//!
//! With hundreds of entry instances, each server's concurrency would split into shares below one,
//! and every instance would hold connections and state for every server. So each instance uses a
//! subset, worked out alone from the identities in the instance list.

use twox_hash::XxHash3_64;

use crate::server::Share;

/// How far a subset may run ahead of the mean, or lag behind it, as a share of the mean; at least
/// one server.
const SLACK: f64 = 0.25;

/// How many instances each server is covered by, when every instance is to have about `want` of
/// the group's servers.
pub fn coverage(servers: usize, instances: usize, want: usize) -> usize {
    let total = instances * want.min(servers);
    let rounded = (total + servers / 2) / servers.max(1);
    rounded.clamp(1, instances.max(1))
}

/// The indices into `servers` that instance `me` sends to, ascending.
///
/// Each server is covered by exactly [`coverage`] instances: those that rank highest for it by
/// rendezvous hashing, but first those whose subset lags behind, last those whose subset runs ahead.
/// So every server has the same number of senders, the subsets are about equally large, and an
/// instance or a server that comes or goes moves little beyond its own part. The result depends on
/// the identities alone, not on their order; `me` is counted even if it isn't listed.
///
/// Call it for each group of servers that hold the same model, or an instance may end up without a
/// server for some model.
pub fn subset(servers: &[u64], instances: &[u64], me: u64, want: usize) -> Vec<usize> {
    let peers = members(instances, me);
    let cover = coverage(servers.len(), peers.len(), want);
    let covers = vec![cover; servers.len()];
    let mine = covered(servers, &covers, &peers, me);
    mine.into_iter().map(|(at, _)| at).collect()
}

/// The identities of all instances, `me` included, each once and in order.
pub(crate) fn members(instances: &[u64], me: u64) -> Vec<u64> {
    let mut peers = instances.to_vec();
    peers.push(me);
    peers.sort_unstable();
    peers.dedup();
    peers
}

/// The servers of `me` by index, ascending, with its part among each one's senders. The server at
/// an index has as many senders as `covers` says there. The `peers` come from [`members`].
pub(crate) fn covered(
    servers: &[u64],
    covers: &[usize],
    peers: &[u64],
    me: u64,
) -> Vec<(usize, Share)> {
    let total: usize = covers.iter().sum();
    let slack = (total as f64 / peers.len() as f64 * SLACK).max(1.0);
    let mut sizes = vec![0_usize; peers.len()];
    let mut ranked = Vec::with_capacity(peers.len());
    let mut mine = Vec::new();
    let mut given = 0;
    for at in shuffled(servers) {
        given += covers[at];
        let mean = given as f64 / peers.len() as f64;
        ranked.clear();
        ranked.extend((0..peers.len()).map(|peer| Candidate {
            balance: Balance::of(sizes[peer] as f64, mean, slack),
            rank: rank(servers[at], peers[peer]),
            peer,
        }));
        let senders = first(&mut ranked, covers[at]);
        for &Candidate { peer, .. } in senders {
            sizes[peer] += 1;
            if peers[peer] == me {
                mine.push((at, share(senders, peer)));
            }
        }
    }
    mine.sort_unstable_by_key(|&(at, _)| at);
    mine
}

/// The part of one of a server's senders, numbered in the order of their identities.
fn share(senders: &[Candidate], me: usize) -> Share {
    let before = senders.iter().filter(|sender| sender.peer < me).count();
    Share {
        instances: senders.len() as u32,
        index: before as u32,
    }
}

/// The indices of the servers in the order of a hash, so that a newcomer's place is arbitrary.
fn shuffled(servers: &[u64]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.sort_unstable_by_key(|&at| (rank(servers[at], 0), servers[at]));
    order
}

/// How an instance's subset compares with the mean so far.
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

/// An instance as a candidate for one server, in the order of preference.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    balance: Balance,
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
