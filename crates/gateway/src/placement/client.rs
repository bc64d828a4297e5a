//! Whom an instance asks where its requests should go, and whether: a state machine.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use crocushold_base::Millis;

use super::message::RequestUpdate;
use super::message::UpdateKind;

/// Questions in a row without an answer after which the placer is left alone for a while. A single datagram
/// may get lost.
const MOST_MISSES: u32 = 2;

/// How long it is left alone: about the time until the collectors agree on another one.
const DOUBT: Millis = Millis(500);

/// Notes that are told once more with the next one. A note that is lost leaves its request in the placer's
/// queue until its time is over, so that the engine seems busy for seconds.
const TOLD_AGAIN: usize = 2;

/// A question that was answered: whom to tell what became of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementId {
    /// The placer.
    pub placer: SocketAddr,
    /// The number of the question.
    pub number: u32,
}

/// One instance's questions.
#[derive(Clone, Debug, Default)]
pub struct PlacementClient {
    placer: Option<SocketAddr>,
    next: u32,
    open: HashSet<u32>,
    misses: u32,
    /// The placer isn't asked before then.
    doubted: Millis,
    recent: VecDeque<(SocketAddr, RequestUpdate)>,
}

impl PlacementClient {
    /// Asks nobody yet. Numbers begin at `first`, which should differ between lives of an instance: notes and
    /// replies of a former life then name no question of this one.
    pub fn new(first: u32) -> PlacementClient {
        PlacementClient {
            next: first,
            ..PlacementClient::default()
        }
    }

    /// Takes in who places; returns whether that is another one than before.
    pub fn follow(&mut self, placer: Option<SocketAddr>) -> bool {
        if placer == self.placer {
            return false;
        }
        self.placer = placer;
        self.misses = 0;
        self.doubted = Millis::ZERO;
        true
    }

    /// Opens a question; `None` while nobody is asked.
    pub fn open(&mut self, now: Millis) -> Option<PlacementId> {
        let placer = self.placer.filter(|_| self.doubted <= now)?;
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.open.insert(number);
        Some(PlacementId { placer, number })
    }

    /// A reply came; returns whether the question was still open. Otherwise the request went elsewhere.
    pub fn answered(&mut self, ticket: PlacementId) -> bool {
        if Some(ticket.placer) == self.placer {
            self.misses = 0;
        }
        self.open.remove(&ticket.number)
    }

    /// No reply came in time. Returns whether the placer is left alone from now on.
    pub fn missed(&mut self, ticket: PlacementId, now: Millis) -> bool {
        if !self.open.remove(&ticket.number) || Some(ticket.placer) != self.placer {
            return false;
        }
        self.misses += 1;
        let doubts = self.misses >= MOST_MISSES;
        if doubts {
            self.misses = 0;
            self.doubted = now + DOUBT;
        }
        doubts
    }

    /// The request of an open question isn't sent any more.
    pub fn dropped(&mut self, ticket: PlacementId) {
        self.open.remove(&ticket.number);
    }

    /// Something happened to a request: returns what to tell its placer.
    pub fn note(&mut self, ticket: PlacementId, kind: UpdateKind) -> Vec<RequestUpdate> {
        let PlacementId { placer, number } = ticket;
        self.recent
            .push_back((placer, RequestUpdate { number, kind }));
        if self.recent.len() > TOLD_AGAIN + 1 {
            self.recent.pop_front();
        }
        let notes = self.recent.iter();
        let notes = notes.filter(|(to, _)| *to == placer);
        notes.map(|(_, note)| *note).collect()
    }
}
