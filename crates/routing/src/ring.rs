//! A consistent-hash ring.

use crocushold_base::ServerKey;
use slotmap::SecondaryMap;
use twox_hash::XxHash3_64;

/// Points of each server on the ring. This many distribute the prefixes about evenly, at a kilobyte
/// per server.
const POINTS: u64 = 64;

/// Servers on a ring of hashes.
///
/// The points derive only from the servers' published identities, so all entry instances send a
/// prefix to the same server without communication. A server that comes or goes moves only its own
/// share of the prefixes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ring {
    points: Vec<Point>,
    servers: SecondaryMap<ServerKey, ()>,
}

#[derive(Clone, Copy, Debug)]
struct Point {
    hash: u64,
    server: ServerKey,
}

impl Ring {
    /// Updates the ring to the servers given by identity and key. Remaining servers keep their
    /// points.
    pub(crate) fn update(&mut self, servers: &[(u64, ServerKey)]) {
        let named = servers.iter().map(|&(_, server)| (server, ()));
        let named: SecondaryMap<ServerKey, ()> = named.collect();
        let before = std::mem::replace(&mut self.servers, named);
        self.points
            .retain(|point| self.servers.contains_key(point.server));
        let added = servers
            .iter()
            .filter(|(_, server)| !before.contains_key(*server));
        for &(id, server) in added {
            self.points.extend((0..POINTS).map(|point| Point {
                hash: XxHash3_64::oneshot_with_seed(point, &id.to_le_bytes()),
                server,
            }));
        }
        // The remaining points are one sorted run, which this sort merges with the new ones.
        self.points.sort_by_key(|point| point.hash);
    }

    /// Iterates once around the ring over the servers clockwise from `prefix`, each as often as it
    /// has points.
    pub(crate) fn walk(&self, prefix: u64) -> impl Iterator<Item = ServerKey> {
        // Prefixes are already hashes, but this crate can't rule out that their hash function is
        // weak. A second hash costs nanoseconds.
        let hash = XxHash3_64::oneshot(&prefix.to_le_bytes());
        let start = self.points.partition_point(|point| point.hash < hash);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|point| point.server)
    }
}
