//! The client side of placement, as a state machine: which placer to ask, and whether to ask it.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use crocushold_base::Millis;

use super::message::RequestUpdate;
use super::message::UpdateKind;

/// Number of consecutive timeouts after which the placer isn't asked for a while. A single datagram
/// may get lost.
const MAX_MISSES: u32 = 2;

/// How long an unresponsive placer isn't asked: about the time until the collectors agree on
/// another one.
const SILENCE_BACKOFF: Millis = Millis(500);

/// Number of earlier updates to repeat with each new one. If an update is lost, its request stays
/// in the placer's queue until it expires, and the engine appears busy for seconds.
const REPEATED_UPDATES: usize = 2;

/// Identifies a placement at its placer, for later updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementId {
    /// The placer.
    pub placer: SocketAddr,
    /// Number of the placement request.
    pub number: u32,
}

/// The placement requests of one instance.
#[derive(Clone, Debug, Default)]
pub struct PlacementClient {
    placer: Option<SocketAddr>,
    next: u32,
    pending: HashSet<u32>,
    misses: u32,
    /// The placer isn't asked before this time.
    backoff_until: Millis,
    recent: VecDeque<(SocketAddr, RequestUpdate)>,
}

impl PlacementClient {
    /// Creates a client without a placer. Numbers begin at `first`, which should differ between
    /// restarts of an instance, so that updates and replies of an earlier process don't match a
    /// request of this one.
    pub fn new(first: u32) -> PlacementClient {
        PlacementClient {
            next: first,
            ..PlacementClient::default()
        }
    }

    /// Sets the placer. Returns whether it has changed.
    pub fn set_placer(&mut self, placer: Option<SocketAddr>) -> bool {
        if placer == self.placer {
            return false;
        }
        self.placer = placer;
        self.misses = 0;
        self.backoff_until = Millis::ZERO;
        true
    }

    /// The placer, responsive or not.
    pub fn placer(&self) -> Option<SocketAddr> {
        self.placer
    }

    /// Whether there is a placer, responsive or not.
    pub fn has_placer(&self) -> bool {
        self.placer.is_some()
    }

    /// Starts a placement request; `None` while there is no placer to ask.
    pub fn start(&mut self, now: Millis) -> Option<PlacementId> {
        let placer = self.placer.filter(|_| self.backoff_until <= now)?;
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.pending.insert(number);
        Some(PlacementId { placer, number })
    }

    /// Records a reply. Returns whether the request was still pending; otherwise it was sent
    /// elsewhere.
    pub fn complete(&mut self, placement_id: PlacementId) -> bool {
        if Some(placement_id.placer) == self.placer {
            self.misses = 0;
        }
        self.pending.remove(&placement_id.number)
    }

    /// Records that the placer holds the request in line.
    pub fn record_waiting(&mut self, placement_id: PlacementId) {
        if Some(placement_id.placer) == self.placer {
            self.misses = 0;
        }
    }

    /// Records that no reply arrived in time. Returns whether the placer isn't asked for a while.
    pub fn time_out(&mut self, placement_id: PlacementId, now: Millis) -> bool {
        if !self.pending.remove(&placement_id.number) || Some(placement_id.placer) != self.placer {
            return false;
        }
        self.misses += 1;
        let backs_off = self.misses >= MAX_MISSES;
        if backs_off {
            self.misses = 0;
            self.backoff_until = now + SILENCE_BACKOFF;
        }
        backs_off
    }

    /// Cancels a pending placement request that is no longer needed.
    pub fn cancel(&mut self, placement_id: PlacementId) {
        self.pending.remove(&placement_id.number);
    }

    /// Records an update of a request. Returns the updates to send to its placer.
    pub fn record_update(
        &mut self,
        placement_id: PlacementId,
        kind: UpdateKind,
    ) -> Vec<RequestUpdate> {
        let PlacementId { placer, number } = placement_id;
        self.recent
            .push_back((placer, RequestUpdate { number, kind }));
        if self.recent.len() > REPEATED_UPDATES + 1 {
            self.recent.pop_front();
        }
        let updates = self.recent.iter();
        let updates = updates.filter(|(to, _)| *to == placer);
        updates.map(|(_, update)| *update).collect()
    }
}
