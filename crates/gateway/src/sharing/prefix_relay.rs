//! Relays announcements of cached prefixes through a collector.
//!
//! Queue lengths are sent anew in each round, but a cached prefix is announced only once, since it
//! stays valid for seconds. Each announcement is passed on in the next message to those that
//! haven't received it, and then dropped here. An announcement that is lost with its message is
//! repeated with a later request.

use super::message::CachedPrefix;
use super::message::MAX_CACHED_PREFIXES;

/// Maximum number of queued announcements for each kind of receiver. A starting fleet announces
/// hundreds at once; those that don't fit are announced again later.
const MAX_QUEUED: usize = 256;

/// Announcements that were received and not yet passed on.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixRelay {
    /// For the collectors of other zones.
    zones: Vec<CachedPrefix>,
    /// For the instances of this zone.
    fleet: Vec<CachedPrefix>,
    /// For this instance.
    received: Vec<CachedPrefix>,
}

impl PrefixRelay {
    /// Adds announcements of this instance, which is the collector of its zone.
    pub(super) fn add_local(&mut self, cached: &[CachedPrefix]) {
        append(&mut self.zones, cached);
        append(&mut self.fleet, cached);
    }

    /// Adds announcements of an instance of this zone.
    pub(super) fn add_from_zone(&mut self, cached: &[CachedPrefix]) {
        self.add_local(cached);
        append(&mut self.received, cached);
    }

    /// Adds announcements of another zone's collector.
    pub(super) fn add_from_other_zone(&mut self, cached: &[CachedPrefix]) {
        append(&mut self.fleet, cached);
        append(&mut self.received, cached);
    }

    /// Adds announcements of this zone's collector.
    pub(super) fn add_from_collector(&mut self, cached: &[CachedPrefix]) {
        append(&mut self.received, cached);
    }

    /// Takes as many announcements for other zones' collectors as fit into a message.
    pub(super) fn take_for_zones(&mut self) -> Vec<CachedPrefix> {
        take(&mut self.zones)
    }

    /// Takes as many announcements for this zone's instances as fit into a message.
    pub(super) fn take_for_fleet(&mut self) -> Vec<CachedPrefix> {
        take(&mut self.fleet)
    }

    /// Takes all announcements that this instance received since the last call.
    pub(super) fn take_received(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.received)
    }
}

fn append(queue: &mut Vec<CachedPrefix>, cached: &[CachedPrefix]) {
    for entry in cached {
        if queue.len() < MAX_QUEUED && !queue.contains(entry) {
            queue.push(*entry);
        }
    }
}

fn take(queue: &mut Vec<CachedPrefix>) -> Vec<CachedPrefix> {
    let count = queue.len().min(MAX_CACHED_PREFIXES);
    queue.drain(..count).collect()
}
