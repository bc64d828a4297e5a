//! The sockets and the clock of asking and placing.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;

use async_std::future::timeout;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use futures::channel::oneshot;
use log::info;

use super::client::PlacementClient;
use super::client::PlacementId;
use super::message::Packet;
use super::message::PlacementReply;
use super::message::PlacementRequest;
use super::message::PlacementVerdict;
use super::message::RequestEnd;
use super::message::RequestUpdate;
use super::message::UpdateKind;
use super::placer::Placer;
use crate::fleet::Fleet;
use crate::fleet::Need;

/// How long an instance waits for the placer's answer before it chooses by itself: several times the way
/// there and back between availability zones, and a tenth of the shortest target of a first token.
pub(super) const ASK_TIMEOUT: Millis = Millis(20);

/// One instance's questions to the placer, and what it places itself.
#[derive(Default)]
pub(crate) struct Placing {
    /// The socket that the instances tell each other by; none where they don't.
    socket: OnceLock<UdpSocket>,
    asker: Mutex<PlacementClient>,
    placer: Mutex<Placer>,
    waiting: Mutex<HashMap<u32, oneshot::Sender<PlacementVerdict>>>,
}

/// Forgets an open question when the caller leaves meanwhile.
struct Open<'a> {
    placing: &'a Placing,
    ticket: PlacementId,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        lock(&self.placing.waiting).remove(&self.ticket.number);
        lock(&self.placing.asker).dropped(self.ticket);
    }
}

impl Placing {
    /// Numbers of questions begin at `first`.
    pub(crate) fn new(first: u32) -> Placing {
        Placing {
            asker: Mutex::new(PlacementClient::new(first)),
            ..Placing::default()
        }
    }

    /// Gives the socket by which the instances tell each other.
    pub(crate) fn set_socket(&self, socket: UdpSocket) {
        // It is set once, before any request is read.
        let _ = self.socket.set(socket);
    }

    /// Takes in who places for this instance; none where it chooses by itself.
    pub(crate) fn follow(&self, placer: Option<SocketAddr>) {
        if lock(&self.asker).follow(placer) {
            let placer = placer.map(|placer| placer.to_string());
            let placer = placer.as_deref().unwrap_or("none");
            info!("{}", Event::new("placer-changed").with("placer", placer));
        }
    }

    /// Asks where a request should go.
    ///
    /// # Errors
    ///
    /// Says why there is no answer; the instance chooses by itself then.
    pub(crate) async fn ask(
        &self,
        question: Question<'_>,
    ) -> Result<(PlacementId, PlacementVerdict), NoAdvice> {
        let now = question.now;
        let opened = lock(&self.asker).open(now);
        let ticket = opened.ok_or(NoAdvice::Nobody)?;
        let open = Open {
            placing: self,
            ticket,
        };
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(ticket.number, sender);
        let ask = PlacementRequest {
            number: ticket.number,
            zone: question.zone.to_owned(),
            remaining: question.remaining,
            tried: question.tried,
            need: question.need.clone(),
        };
        self.send(ticket.placer, &Packet::Request(ask));
        let verdict = timeout(ASK_TIMEOUT.into(), receiver).await;
        if let Ok(Ok(verdict)) = verdict {
            return Ok((ticket, verdict));
        }
        let doubts = lock(&self.asker).missed(ticket, now + ASK_TIMEOUT);
        if doubts {
            let event = Event::new("placer-silent").with("placer", ticket.placer);
            info!("{event}");
        }
        drop(open);
        Err(NoAdvice::Silent)
    }

    /// The answer to a placed request has begun.
    pub(crate) fn began(&self, ticket: Option<PlacementId>, load: Option<LoadReport>) {
        self.note(ticket, UpdateKind::started(load));
    }

    /// A placed request has ended.
    pub(crate) fn ended(&self, ticket: Option<PlacementId>, ended: RequestEnd) {
        self.note(ticket, UpdateKind::Ended(ended));
    }

    /// The server that was chosen for a request isn't used.
    pub(crate) fn unused(&self, ticket: PlacementId) {
        let ended = RequestEnd {
            outcome: Outcome::Cancelled,
            tokens: 0,
            pause: None,
        };
        self.ended(Some(ticket), ended);
    }

    /// Another instance asks.
    pub(crate) fn place(
        &self,
        fleet: &mut Fleet,
        from: SocketAddr,
        ask: &PlacementRequest,
        now: Millis,
    ) {
        let reply = lock(&self.placer).place(fleet, from, ask, now);
        self.send(from, &Packet::Reply(reply));
    }

    /// Another instance tells what became of its requests.
    pub(crate) fn take_notes(
        &self,
        fleet: &mut Fleet,
        from: SocketAddr,
        notes: Vec<RequestUpdate>,
        now: Millis,
    ) {
        let mut placer = lock(&self.placer);
        for note in notes {
            placer.note(fleet, from, note, now);
        }
    }

    /// The placer answers.
    pub(crate) fn take_reply(&self, from: SocketAddr, reply: PlacementReply) {
        let ticket = PlacementId {
            placer: from,
            number: reply.number,
        };
        let open = lock(&self.asker).answered(ticket);
        let waiting = lock(&self.waiting).remove(&reply.number);
        let taken = waiting.filter(|_| open);
        let taken = taken.is_some_and(|waiting| waiting.send(reply.verdict).is_ok());
        // The request went elsewhere meanwhile: the slot that was taken for it is given back.
        if !taken && matches!(reply.verdict, PlacementVerdict::Placed(_)) {
            self.unused(ticket);
        }
    }

    /// Runs timers out.
    pub(crate) fn expire(&self, fleet: &mut Fleet, now: Millis) {
        lock(&self.placer).expire(fleet, now);
    }

    fn note(&self, ticket: Option<PlacementId>, kind: UpdateKind) {
        if let Some(ticket) = ticket {
            let notes = lock(&self.asker).note(ticket, kind);
            self.send(ticket.placer, &Packet::Updates(notes));
        }
    }

    fn send(&self, to: SocketAddr, packet: &Packet) {
        if let Some(socket) = self.socket.get() {
            // Lost, refused or no room: whoever waits for it goes on without.
            let _ = socket.send_to(&packet.encode(), to);
        }
    }
}

/// Why the placer didn't say where a request should go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoAdvice {
    /// None is known, or it is left alone as it didn't answer.
    Nobody,
    /// It didn't answer in time.
    Silent,
}

/// What is asked of the placer.
pub(crate) struct Question<'a> {
    pub(crate) need: &'a Need,
    /// This instance's availability zone.
    pub(crate) zone: &'a str,
    /// How long the request has left.
    pub(crate) remaining: Millis,
    /// Engines that it was sent to, by hashes of their identities.
    pub(crate) tried: Vec<u32>,
    pub(crate) now: Millis,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
