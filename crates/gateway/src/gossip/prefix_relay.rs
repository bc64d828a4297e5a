//! What engines hold, on its way through a collector.
//!
//! Unlike queues, which are told anew in each round, a holding is told once: it stays true for seconds. Each
//! is passed on in the next message to those that haven't heard it, and then forgotten here. One that is lost
//! with its message is told again with a later request.

use super::message::CachedPrefix;
use super::message::MOST_KEPT;

/// Holdings that wait to be passed on at most, for each kind of receiver. A fleet that starts tells of hundreds
/// at once; what doesn't fit is told again.
const MOST_WAITING: usize = 256;

/// Holdings that were heard and not passed on yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Holdings {
    /// For the collectors of the other zones.
    zones: Vec<CachedPrefix>,
    /// For the instances of the zone.
    fleet: Vec<CachedPrefix>,
    /// For this instance.
    heard: Vec<CachedPrefix>,
}

impl Holdings {
    /// This instance, which collects for its zone, tells them itself.
    pub(super) fn own(&mut self, cached: &[CachedPrefix]) {
        append(&mut self.zones, cached);
        append(&mut self.fleet, cached);
    }

    /// An instance of the zone told them.
    pub(super) fn zone_told(&mut self, cached: &[CachedPrefix]) {
        self.own(cached);
        append(&mut self.heard, cached);
    }

    /// The collector of another zone told them.
    pub(super) fn other_zone_told(&mut self, cached: &[CachedPrefix]) {
        append(&mut self.fleet, cached);
        append(&mut self.heard, cached);
    }

    /// The collector of the zone told them.
    pub(super) fn collector_told(&mut self, cached: &[CachedPrefix]) {
        append(&mut self.heard, cached);
    }

    /// As many for the collectors of the other zones as a message holds.
    pub(super) fn for_zones(&mut self) -> Vec<CachedPrefix> {
        take(&mut self.zones)
    }

    /// As many for the instances of the zone as a message holds.
    pub(super) fn for_fleet(&mut self) -> Vec<CachedPrefix> {
        take(&mut self.fleet)
    }

    /// All that this instance heard since the last call.
    pub(super) fn heard(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.heard)
    }
}

fn append(queue: &mut Vec<CachedPrefix>, cached: &[CachedPrefix]) {
    for entry in cached {
        if queue.len() < MOST_WAITING && !queue.contains(entry) {
            queue.push(*entry);
        }
    }
}

fn take(queue: &mut Vec<CachedPrefix>) -> Vec<CachedPrefix> {
    let count = queue.len().min(MOST_KEPT);
    queue.drain(..count).collect()
}
