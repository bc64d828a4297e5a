//! Passing records on when groups change.

use std::collections::BTreeMap;

use super::message::ClaimKey;
use crate::view::Member;

/// How many peers may be behind with their records when marks go out to the others.
const STRAGGLERS: usize = 1;

/// What is still to be sent to one peer.
#[derive(Clone, Debug, Default)]
struct Outbox {
    keys: Vec<ClaimKey>,
    marked: bool,
}

/// The records and marks that this member owes to the others under the view in force.
#[derive(Clone, Debug, Default)]
pub(super) struct Handover {
    outboxes: BTreeMap<Member, Outbox>,
    batch: usize,
    /// Whether this member leaves the fleet.
    leaving: bool,
}

/// The next thing to send to a peer.
#[derive(Debug)]
pub(super) enum Parcel<'a> {
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

    /// Starts anew for another view.
    pub(super) fn start(&mut self, peers: impl Iterator<Item = Member>, leaving: bool) {
        self.leaving = leaving;
        self.outboxes = peers.map(|peer| (peer, Outbox::default())).collect();
    }

    /// Adds a record that `peer` needs before its mark. One that is on its way already is sent again.
    pub(super) fn push(&mut self, peer: Member, key: ClaimKey) {
        if let Some(outbox) = self.outboxes.get_mut(&peer).filter(|o| !o.marked) {
            outbox.keys.push(key);
        }
    }

    /// What to send now, one parcel a peer.
    ///
    /// A mark says that a grant that this member recorded has its full count of holders again, so
    /// it waits until the records have reached the peers. One peer that doesn't answer must not hold
    /// up the rest: it counts this member as missing until it has the records. A member that leaves
    /// is counted on by nobody afterwards, so it marks no one before all have its records.
    pub(super) fn parcels(&self) -> impl Iterator<Item = (Member, Parcel<'_>)> {
        let behind = self.outboxes.values().filter(|o| !o.keys.is_empty());
        let marking = behind.count() <= if self.leaving { 0 } else { STRAGGLERS };
        self.outboxes.iter().filter_map(move |(&peer, outbox)| {
            if !outbox.keys.is_empty() {
                let rest = outbox.keys.len().saturating_sub(self.batch);
                return Some((peer, Parcel::Records(&outbox.keys[rest..])));
            }
            (marking && !outbox.marked).then_some((peer, Parcel::Mark))
        })
    }

    /// Drops keys whose records have expired since the plan was made.
    pub(super) fn retain(&mut self, keep: impl Fn(ClaimKey) -> bool) {
        for outbox in self.outboxes.values_mut() {
            outbox.keys.retain(|key| keep(*key));
        }
    }

    /// The peer has taken these records, the last that were sent to it.
    pub(super) fn taken(&mut self, peer: Member, sent: &[ClaimKey], marked: bool) {
        let Some(outbox) = self.outboxes.get_mut(&peer) else {
            return;
        };
        if outbox.keys.ends_with(sent) {
            let rest = outbox.keys.len() - sent.len();
            outbox.keys.truncate(rest);
        }
        outbox.marked |= marked;
    }

    /// Whether this member leaves the fleet.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub(super) fn is_done(&self) -> bool {
        self.outboxes.values().all(|outbox| outbox.marked)
    }
}
