//! Updates that still have to be passed on.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use crate::identity::InstanceId;
use crate::message::Update;

/// Transmissions of an update, as a multiple of the binary logarithm of the number of members.
const TRANSMISSION_FACTOR: u32 = 2;

/// Least logarithm that counts, so that a newcomer who knows nobody yet isn't forgotten.
const MIN_LOG: u32 = 4;

/// Time after which an update is left to the comparison of views.
const MAX_AGE: Millis = Millis::from_secs(15);

/// An update and how often it was passed on.
#[derive(Debug)]
struct Pending {
    update: Update,
    sent: u32,
    since: Millis,
}

/// The updates that are piggybacked on messages, at most one for each member.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    pending: BTreeMap<InstanceId, Pending>,
}

impl UpdateQueue {
    /// Adds an update in place of an older one about the same member.
    pub(crate) fn push(&mut self, update: Update, now: Millis) {
        let id = update.instance.id.clone();
        let pending = Pending {
            update,
            sent: 0,
            since: now,
        };
        self.pending.insert(id, pending);
    }

    /// Another member passed the same update on: one transmission less is needed here.
    pub(crate) fn mark_received(&mut self, update: &Update) {
        if let Some(pending) = self.pending.get_mut(&update.instance.id)
            && pending.update == *update
        {
            pending.sent += 1;
        }
    }

    /// Drops what has waited for long. When hundreds of members change at once, the backlog would
    /// fill each message for minutes after all have compared their views and know.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.pending
            .retain(|_, pending| now.since(pending.since) < MAX_AGE);
    }

    /// Takes up to `limit` updates, the least often sent first.
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
