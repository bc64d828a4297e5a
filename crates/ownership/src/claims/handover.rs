//! Hand-over of records when replica groups change.

use std::collections::BTreeMap;

use super::message::ClaimKey;
use crate::view::Member;

/// How many peers may still lack records when marks are sent to the others.
const MAX_STRAGGLERS: usize = 1;

/// What remains to be sent to one peer.
#[derive(Clone, Debug, Default)]
struct Outbox {
    keys: Vec<ClaimKey>,
    marked: bool,
}

/// The records and marks that this member still has to send to its peers under the current view.
#[derive(Clone, Debug, Default)]
pub(super) struct Handover {
    outboxes: BTreeMap<Member, Outbox>,
    batch: usize,
    /// Whether this member is leaving the fleet.
    leaving: bool,
}

/// The next message for a peer.
#[derive(Debug)]
pub(super) enum Payload<'a> {
    Records(&'a [ClaimKey]),
    Mark,
}

impl Handover {
    pub(super) fn new(batch: usize) -> Handover {
        Handover {
            outboxes: BTreeMap::new(),
            batch,
            leaving: false,
        }
    }

    /// Starts a new hand-over, for another view.
    pub(super) fn start(&mut self, peers: impl Iterator<Item = Member>, leaving: bool) {
        self.leaving = leaving;
        self.outboxes = peers.map(|peer| (peer, Outbox::default())).collect();
    }

    /// Queues a record that `peer` needs before its mark. A record that is already in flight is
    /// sent again.
    pub(super) fn enqueue(&mut self, peer: Member, key: ClaimKey) {
        if let Some(outbox) = self.outboxes.get_mut(&peer).filter(|o| !o.marked) {
            outbox.keys.push(key);
        }
    }

    /// The next messages, one per peer.
    ///
    /// A mark states that every grant this member has recorded has its full number of holders
    /// again, so it is sent only after the records have reached the peers. One unresponsive peer
    /// must not block the others: it counts this member as unaccounted for until it has the
    /// records. Nobody counts on a member that has left, so a leaving member sends no mark before
    /// every peer has its records.
    pub(super) fn next_payloads(&self) -> impl Iterator<Item = (Member, Payload<'_>)> {
        let behind = self.outboxes.values().filter(|o| !o.keys.is_empty());
        let marking = behind.count() <= if self.leaving { 0 } else { MAX_STRAGGLERS };
        self.outboxes.iter().filter_map(move |(&peer, outbox)| {
            if !outbox.keys.is_empty() {
                let rest = outbox.keys.len().saturating_sub(self.batch);
                return Some((peer, Payload::Records(&outbox.keys[rest..])));
            }
            (marking && !outbox.marked).then_some((peer, Payload::Mark))
        })
    }

    /// Drops keys whose records have expired since they were queued.
    pub(super) fn retain(&mut self, keep: impl Fn(ClaimKey) -> bool) {
        for outbox in self.outboxes.values_mut() {
            outbox.keys.retain(|key| keep(*key));
        }
    }

    /// Handles the peer's acknowledgement of `sent`, the last records that were sent to it.
    pub(super) fn acknowledge(&mut self, peer: Member, sent: &[ClaimKey], marked: bool) {
        let Some(outbox) = self.outboxes.get_mut(&peer) else {
            return;
        };
        if outbox.keys.ends_with(sent) {
            let rest = outbox.keys.len() - sent.len();
            outbox.keys.truncate(rest);
        }
        outbox.marked |= marked;
    }

    /// Whether this member is leaving the fleet.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub(super) fn is_done(&self) -> bool {
        self.outboxes.values().all(|outbox| outbox.marked)
    }
}
