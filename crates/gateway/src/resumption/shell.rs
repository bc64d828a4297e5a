//! The socket and the timeouts of questions for the origins of streams.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use async_std::future::timeout;
use crocushold_base::Millis;
use crocushold_routing::SoftwareKey;
use futures::StreamExt;
use futures::channel::mpsc::UnboundedSender;
use futures::channel::mpsc::unbounded;

use super::holders::holders;
use super::message::OriginQuery;
use super::message::OriginReply;
use super::message::SeenSoftware;
use super::message::StreamKey;
use super::message::StreamOrigin;
use super::origins::Origins;
use crate::placing::Packet;

#[cfg(test)]
mod tests;

/// Number of other instances that are told the origin of a stream. Its origin is lost only if all of
/// them end, and the one that began it.
const HOLDERS: usize = 2;

/// Number of instances that are asked. It exceeds [`HOLDERS`], as the instance that began the stream
/// may have known other members.
const ASKED: usize = 5;

/// Time after which those that haven't replied are asked again, as datagrams may get lost: several
/// round trips between availability zones.
const REPEAT_AFTER: Millis = Millis(30);

/// Number of times that the holders are asked. A process without processor time may take a tenth of
/// a second.
const ROUNDS: usize = 4;

/// A reply and its sender.
type Reply = (SocketAddr, OriginReply);

/// What is known of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// Another instance has one.
    Elsewhere(SoftwareKey),
    /// Nobody who was asked knows it. They have seen these versions.
    Unknown(Vec<SeenSoftware>),
    /// One that may know it hasn't replied.
    Unsure,
}

/// The known origins, and the questions of this instance.
#[derive(Default)]
pub(crate) struct OriginService {
    /// The gossip socket; unset if there are no other instances.
    socket: OnceLock<UdpSocket>,
    origins: Mutex<Origins>,
    members: Mutex<Vec<SocketAddr>>,
    next: AtomicU32,
    pending: Mutex<HashMap<u32, UnboundedSender<Reply>>>,
}

impl OriginService {
    /// Sets the gossip socket and the first instances to ask.
    pub(crate) fn start(&self, socket: UdpSocket, seeds: &[SocketAddr]) {
        // The socket is set once, before any request is read.
        let _ = self.socket.set(socket);
        self.set_members(seeds.to_vec());
    }

    /// Sets the other live instances. While none are known, the last ones stay.
    pub(crate) fn set_members(&self, members: Vec<SocketAddr>) {
        if !members.is_empty() {
            *lock(&self.members) = members;
        }
    }

    /// Records the origin of a stream that this instance relays, and tells its holders. They learn of
    /// it before the caller has the first event.
    pub(crate) fn record(&self, origin: StreamOrigin, now: Millis) {
        lock(&self.origins).record(origin, now);
        let told = holders(origin.key, &lock(&self.members), HOLDERS);
        for holder in told {
            self.send(holder, &Packet::Origin(origin));
        }
    }

    /// Records an origin that another instance tells.
    pub(crate) fn record_remote(&self, origin: StreamOrigin, now: Millis) {
        lock(&self.origins).record(origin, now);
    }

    /// Records that callers may hold streams for so long.
    pub(crate) fn record_span(&self, span: Millis, now: Millis) {
        lock(&self.origins).record_span(span, now);
    }

    /// The longest time for which callers hold streams, as far as this instance knows.
    pub(crate) fn longest_span(&self, now: Millis) -> Millis {
        lock(&self.origins).longest_span(now)
    }

    /// Replies to a question of another instance, with the versions that this one has seen.
    pub(crate) fn reply(
        &self,
        from: SocketAddr,
        query: OriginQuery,
        seen: SeenSoftware,
        now: Millis,
    ) {
        let origins = lock(&self.origins);
        let reply = OriginReply {
            number: query.number,
            software: query.key.and_then(|key| origins.software(key, now)),
            seen,
        };
        drop(origins);
        self.send(from, &Packet::OriginReply(reply));
    }

    /// Handles a reply of another instance.
    pub(crate) fn handle_reply(&self, from: SocketAddr, reply: OriginReply) {
        if let Some(sender) = lock(&self.pending).get(&reply.number) {
            // The question may have been answered meanwhile.
            let _ = sender.unbounded_send((from, reply));
        }
    }

    /// The origin of a stream according to the records of this instance.
    pub(crate) fn known(&self, key: StreamKey, now: Millis) -> Option<SoftwareKey> {
        lock(&self.origins).software(key, now)
    }

    /// Asks for the origin of a stream of `service`: the holders of the stream, or those of `name` if
    /// the stream has no key.
    pub(crate) async fn find(
        &self,
        key: Option<StreamKey>,
        name: StreamKey,
        service: u32,
    ) -> Found {
        let asked = holders(key.unwrap_or(name), &lock(&self.members), ASKED);
        // Without a key there is no better reply to wait for than one that has seen enough.
        let is_enough = |reply: &OriginReply| {
            reply.software.is_some() || (key.is_none() && reply.seen.is_complete())
        };
        let replies = self.ask(&asked, key, service, is_enough).await;
        if let Some(software) = replies.iter().find_map(|reply| reply.software) {
            return Found::Elsewhere(software);
        }
        if key.is_some() && replies.len() < asked.len() {
            return Found::Unsure;
        }
        Found::Unknown(replies.iter().map(|reply| reply.seen).collect())
    }

    /// Whether no other instance has contact to the store, as far as those that are asked know. If none of them replies, this
    /// instance is the one that is cut off. `name` spreads the questions of requests over the instances.
    pub(crate) async fn is_store_away(&self, name: StreamKey, service: u32) -> bool {
        let asked = holders(name, &lock(&self.members), ASKED);
        let has_contact = |reply: &OriginReply| reply.seen.contact > Millis::ZERO;
        let replies = self.ask(&asked, None, service, has_contact).await;
        asked.is_empty() || (!replies.is_empty() && !replies.iter().any(has_contact))
    }

    /// Asks instances until all have replied, one reply is enough, or it takes too long.
    async fn ask(
        &self,
        asked: &[SocketAddr],
        key: Option<StreamKey>,
        service: u32,
        is_enough: impl Fn(&OriginReply) -> bool,
    ) -> Vec<OriginReply> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, mut arriving) = unbounded();
        lock(&self.pending).insert(number, sender);
        let _pending = PendingQuery {
            service: self,
            number,
        };
        let query = OriginQuery {
            number,
            key,
            service,
        };
        let mut silent: HashSet<SocketAddr> = asked.iter().copied().collect();
        let mut replies = Vec::new();
        for _ in 0..ROUNDS {
            for holder in &silent {
                self.send(*holder, &Packet::OriginQuery(query));
            }
            let round = async {
                while !silent.is_empty()
                    && let Some((from, reply)) = arriving.next().await
                {
                    if !silent.remove(&from) {
                        continue;
                    }
                    replies.push(reply);
                    if is_enough(&reply) {
                        break;
                    }
                }
            };
            if timeout(REPEAT_AFTER.into(), round).await.is_ok() {
                break;
            }
        }
        replies
    }

    /// Forgets the streams that can't be taken up any more. Returns how many are known.
    pub(crate) fn expire(&self, now: Millis) -> usize {
        let mut origins = lock(&self.origins);
        origins.expire(now);
        origins.len()
    }

    fn send(&self, to: SocketAddr, packet: &Packet) {
        if let Some(socket) = self.socket.get() {
            // The datagram may be lost, refused or dropped for lack of buffer space. Another holder
            // knows the same, and questions are repeated.
            let _ = socket.send_to(&packet.encode(), to);
        }
    }
}

/// Removes a question if the caller's request is dropped, or at its end.
struct PendingQuery<'a> {
    service: &'a OriginService,
    number: u32,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        lock(&self.service.pending).remove(&self.number);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
