//! Updates that have yet to be gossiped.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use crate::identity::InstanceId;
use crate::message::Update;

/// Number of transmissions of an update, as a multiple of the binary logarithm of the number of
/// members.
const TRANSMISSION_FACTOR: u32 = 2;

/// Lower bound of that logarithm, so that an instance that knows no others yet still gossips its
/// own arrival.
const MIN_LOG: u32 = 4;

/// Time after which an update is dropped and left to the comparison of views.
const MAX_AGE: Millis = Millis::from_secs(15);

/// An update with its number of transmissions.
#[derive(Debug)]
struct Pending {
    update: Update,
    sent: u32,
    since: Millis,
}

/// The updates that are piggybacked on messages, at most one per member.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    pending: BTreeMap<InstanceId, Pending>,
}

impl UpdateQueue {
    /// Adds an update, replacing an older one about the same member.
    pub(crate) fn push(&mut self, update: Update, now: Millis) {
        let id = update.instance.id.clone();
        let pending = Pending {
            update,
            sent: 0,
            since: now,
        };
        self.pending.insert(id, pending);
    }

    /// Counts the receipt of the same update from another member as one transmission.
    pub(crate) fn mark_received(&mut self, update: &Update) {
        if let Some(pending) = self.pending.get_mut(&update.instance.id)
            && pending.update == *update
        {
            pending.sent += 1;
        }
    }

    /// Drops updates that have waited too long. When hundreds of members change at once, the
    /// backlog would otherwise fill each message for minutes after all members have learned the
    /// changes by comparing views.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.pending
            .retain(|_, pending| now.since(pending.since) < MAX_AGE);
    }

    /// Takes up to `limit` updates, those with the fewest transmissions first.
    pub(crate) fn take(&mut self, limit: usize, members: usize) -> Vec<Update> {
        let most = TRANSMISSION_FACTOR * (members as u32 + 1).ilog2().max(MIN_LOG);
        let mut order: Vec<(u32, InstanceId)> = self
            .pending
            .iter()
            .map(|(id, pending)| (pending.sent, id.clone()))
            .collect();
        order.sort_unstable();
        order.truncate(limit);
        let mut taken = Vec::with_capacity(order.len());
        for (_, id) in order {
            taken.extend(self.send(&id, most));
        }
        taken
    }

    fn send(&mut self, id: &InstanceId, most: u32) -> Option<Update> {
        let pending = self.pending.get_mut(id)?;
        pending.sent += 1;
        let update = pending.update.clone();
        if pending.sent >= most {
            self.pending.remove(id);
        }
        Some(update)
    }
}
