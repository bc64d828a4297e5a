//! The sockets and timeouts of placement.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use async_std::future::timeout;
use crocushold_base::Clock;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use futures::StreamExt;
use futures::channel::mpsc;
use futures::channel::mpsc::UnboundedReceiver;
use futures::channel::mpsc::UnboundedSender;
use log::info;

use super::client::PlacementClient;
use super::client::PlacementId;
use super::line_wait::LineWait;
use super::line_wait::LineWaitStep;
use super::message::LineTerms;
use super::message::Packet;
use super::message::PlacementReply;
use super::message::PlacementRequest;
use super::message::PlacementVerdict;
use super::message::RequestEnd;
use super::message::RequestUpdate;
use super::message::UpdateKind;
use super::placer::Placer;
use super::waiting::LineReport;
use crate::fleet::Choice;
use crate::fleet::Fleet;
use crate::fleet::Need;
use crate::fleet::ProbeTarget;
use crate::reach::log_ejections;
use crate::signal::Signal;
use crate::start::first_placer_wait;

/// How long to wait for the placer's reply before choosing a server locally. This is several round
/// trips between availability zones, and a tenth of the shortest target for a first token.
pub(super) const ASK_TIMEOUT: Millis = Millis(20);

/// The placement requests of this instance, and the requests that it placed for others.
#[derive(Default)]
pub(crate) struct PlacementService {
    /// The gossip socket; unset if there is no gossip.
    socket: OnceLock<UdpSocket>,
    client: Mutex<PlacementClient>,
    placer: Mutex<Placer>,
    pending: Mutex<HashMap<u32, UnboundedSender<PlacementVerdict>>>,
    /// This instance's address if requests wait in line: it then asks itself as well if it is the
    /// placer, so that its own requests don't overtake those in line.
    own: OnceLock<SocketAddr>,
    /// Whether this instance has just started and is about to know a placer.
    expected: AtomicBool,
    found: Signal,
    /// The placer that a question of the last round got no answer from.
    unanswered: Mutex<Option<SocketAddr>>,
}

/// Cancels a pending placement request if the caller's request is dropped.
struct PendingRequest<'a> {
    service: &'a PlacementService,
    placement_id: PlacementId,
    verdicts: UnboundedReceiver<PlacementVerdict>,
    /// Whether the placer has it in line.
    waits: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        lock(&self.service.pending).remove(&self.placement_id.number);
        lock(&self.service.client).cancel(self.placement_id);
        self.verdicts.close();
        let mut unread = false;
        while let Ok(verdict) = self.verdicts.try_recv() {
            unread |= matches!(verdict, PlacementVerdict::Placed(_));
        }
        if self.waits || unread {
            self.service.release(self.placement_id);
        }
    }
}

impl PlacementService {
    /// Numbers of placement requests begin at `first`.
    pub(crate) fn new(first: u32) -> PlacementService {
        PlacementService {
            client: Mutex::new(PlacementClient::new(first)),
            ..PlacementService::default()
        }
    }

    /// Lets requests wait in line. `own` is the address at which this instance receives gossip.
    pub(crate) fn start_line(&self, own: SocketAddr) {
        // It is set once, before any request is read.
        let _ = self.own.set(own);
        *lock(&self.placer) = Placer::with_line();
    }

    /// Whether this is the address of this instance, and requests wait in line.
    pub(crate) fn is_own(&self, address: SocketAddr) -> bool {
        self.own.get() == Some(&address)
    }

    /// Whether this instance asks itself.
    pub(crate) fn asks_itself(&self) -> bool {
        let placer = lock(&self.client).placer();
        placer.is_some_and(|placer| self.is_own(placer))
    }

    /// Whether requests wait in line at this instance.
    pub(crate) fn has_waiting(&self) -> bool {
        lock(&self.placer).waiting() > 0
    }

    /// Reports on the line at this instance since the last call.
    pub(crate) fn take_line_report(&self, now: Millis) -> LineReport {
        lock(&self.placer).take_line_report(now)
    }

    /// Offers the waiting requests to the engines.
    pub(crate) fn serve_line(&self, fleet: &mut Fleet, now: Millis) {
        let mut placer = lock(&self.placer);
        placer.serve_line(fleet, now);
        self.send_replies(&mut placer);
    }

    /// Takes over a request of this instance that it placed itself.
    pub(crate) fn take_own(&self, placement_id: PlacementId) -> Option<Choice> {
        lock(&self.placer).take_own(placement_id.placer, placement_id.number)
    }

    fn send_replies(&self, placer: &mut Placer) {
        for (to, reply) in placer.take_replies() {
            self.send(to, &Packet::Reply(reply));
        }
    }

    /// Sets the gossip socket.
    pub(crate) fn set_socket(&self, socket: UdpSocket) {
        // The socket is set once, before any request is read.
        let _ = self.socket.set(socket);
    }

    /// Sets the placer. `None` if this instance chooses by itself.
    pub(crate) fn set_placer(&self, placer: Option<SocketAddr>) {
        if lock(&self.client).set_placer(placer) {
            let placer = placer.map(|placer| placer.to_string());
            let placer = placer.as_deref().unwrap_or("none");
            info!("{}", Event::new("placer-changed").with("placer", placer));
        }
    }

    /// Takes the placer that hasn't answered a question since the last call.
    pub(crate) fn take_unanswered(&self) -> Option<SocketAddr> {
        lock(&self.unanswered).take()
    }

    /// Sets whether this instance is about to know a placer.
    pub(crate) fn set_expected(&self, expected: bool) {
        let before = self.expected.swap(expected, Ordering::Relaxed);
        if before && !expected {
            self.found.notify();
        }
    }

    /// Whether this instance is about to know a placer.
    pub(crate) fn is_expected(&self) -> bool {
        self.expected.load(Ordering::Relaxed)
    }

    /// Waits for a placer that is about to become known; `false` if none is. A request with
    /// `remaining` time waits for a small part of it.
    pub(crate) async fn wait_for_placer(&self, remaining: Millis) -> bool {
        let found = self.found.subscribe();
        if !self.is_expected() {
            return false;
        }
        timeout(first_placer_wait(remaining).into(), found)
            .await
            .is_ok()
    }

    /// Requests a placement.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply. The instance then chooses by itself.
    pub(crate) async fn ask(
        &self,
        query: PlacementQuery<'_>,
    ) -> Result<PlacementAnswer, PlacementError> {
        let now = query.clock.now();
        let placement_id = {
            let mut client = lock(&self.client);
            let placement_id = client.start(now);
            placement_id.ok_or(if client.has_placer() {
                PlacementError::Silent
            } else {
                PlacementError::NoPlacer
            })?
        };
        let (sender, verdicts) = mpsc::unbounded();
        let mut open = PendingRequest {
            service: self,
            placement_id,
            verdicts,
            waits: false,
        };
        lock(&self.pending).insert(placement_id.number, sender);
        let mut request = PlacementRequest {
            number: placement_id.number,
            zone: query.zone.to_owned(),
            remaining: query.remaining,
            tried: query.tried,
            need: query.need.clone(),
            resting: query.resting,
            line: query.line,
        };
        self.send(placement_id.placer, &Packet::Request(request.clone()));
        let first = timeout(ASK_TIMEOUT.into(), open.verdicts.next()).await;
        let answered = match first {
            Ok(Some(PlacementVerdict::Waiting)) => {
                open.waits = true;
                self.wait_in_line(&mut open, &mut request, query.clock, now)
                    .await
            }
            Ok(Some(verdict)) => Some((verdict, None)),
            Ok(None) | Err(_) => None,
        };
        if let Some((verdict, waited)) = answered {
            // The placer has decided, and updates follow from the one who uses the decision.
            open.waits = false;
            return Ok(PlacementAnswer {
                placement_id,
                verdict,
                waited,
            });
        }
        *lock(&self.unanswered) = Some(placement_id.placer);
        let backs_off = lock(&self.client).time_out(placement_id, query.clock.now());
        if backs_off {
            let event = Event::new("placer-silent").with("placer", placement_id.placer);
            info!("{event}");
        }
        drop(open);
        Err(PlacementError::Timeout)
    }

    /// Waits for the decision on a request that is in the placer's line. Returns it with the time
    /// that it took, or `None` if the placer is gone.
    async fn wait_in_line(
        &self,
        open: &mut PendingRequest<'_>,
        request: &mut PlacementRequest,
        clock: Clock,
        asked: Millis,
    ) -> Option<(PlacementVerdict, Option<Millis>)> {
        let limit = request.line.map(|terms| terms.limit);
        let remaining = request.remaining;
        let mut wait = LineWait::new(limit.unwrap_or_default(), asked);
        loop {
            let now = clock.now();
            match wait.next(now) {
                LineWaitStep::GiveUp => return None,
                LineWaitStep::Ask(limit) => {
                    request.remaining = remaining.since(wait.waited(now));
                    if let Some(terms) = &mut request.line {
                        terms.limit = limit;
                    }
                    self.send(open.placement_id.placer, &Packet::Request(request.clone()));
                }
                LineWaitStep::Listen(until) => {
                    let heard = timeout(until.since(now).into(), open.verdicts.next()).await;
                    match heard {
                        Ok(Some(PlacementVerdict::Waiting)) => wait.record_reply(),
                        Ok(Some(verdict)) => {
                            return Some((verdict, Some(wait.waited(clock.now()))));
                        }
                        Ok(None) => return None,
                        Err(_) => {}
                    }
                }
            }
        }
    }

    /// Reports that the answer to a placed request has begun.
    pub(crate) fn request_started(
        &self,
        placement_id: Option<PlacementId>,
        load: Option<LoadReport>,
    ) {
        self.send_update(placement_id, UpdateKind::started(load));
    }

    /// Reports that a placed request has ended.
    pub(crate) fn request_ended(&self, placement_id: Option<PlacementId>, ended: RequestEnd) {
        self.send_update(placement_id, UpdateKind::Ended(ended));
    }

    /// Releases a placement that isn't used.
    pub(crate) fn release(&self, placement_id: PlacementId) {
        let ended = RequestEnd {
            result: Outcome::Cancelled,
            tokens: 0,
            pause: None,
        };
        self.request_ended(Some(placement_id), ended);
    }

    /// Handles a placement request of another instance.
    pub(crate) fn place(
        &self,
        fleet: &mut Fleet,
        from: SocketAddr,
        request: &PlacementRequest,
        now: Millis,
    ) {
        let mut placer = lock(&self.placer);
        let reply = placer.place(fleet, from, request, now);
        self.send(from, &Packet::Reply(reply));
        self.send_replies(&mut placer);
    }

    /// Applies another instance's updates of its requests. Returns the servers to probe.
    pub(crate) fn apply_updates(
        &self,
        fleet: &mut Fleet,
        from: SocketAddr,
        updates: Vec<RequestUpdate>,
        now: Millis,
    ) -> Vec<ProbeTarget> {
        let mut placer = lock(&self.placer);
        let updates = updates.into_iter();
        let probes = updates.filter_map(|update| placer.apply_update(fleet, from, update, now));
        let probes = probes.collect();
        self.send_replies(&mut placer);
        log_ejections(fleet.take_ejections(), "placement");
        probes
    }

    /// Applies the result of a probe of a server that another instance couldn't reach.
    pub(crate) fn record_probe(
        &self,
        fleet: &mut Fleet,
        server: ServerKey,
        is_reachable: bool,
        now: Millis,
    ) {
        lock(&self.placer).record_probe(fleet, server, is_reachable, now);
        log_ejections(fleet.take_ejections(), "placement");
    }

    /// Handles a reply of the placer.
    pub(crate) fn handle_reply(&self, from: SocketAddr, reply: PlacementReply) {
        let placement_id = PlacementId {
            placer: from,
            number: reply.number,
        };
        if reply.verdict == PlacementVerdict::Waiting {
            lock(&self.client).record_waiting(placement_id);
            if let Some(sender) = lock(&self.pending).get(&reply.number) {
                let _ = sender.unbounded_send(reply.verdict);
            }
            return;
        }
        let open = lock(&self.client).complete(placement_id);
        let sender = lock(&self.pending).remove(&reply.number);
        let delivered = sender.filter(|_| open);
        let delivered =
            delivered.is_some_and(|sender| sender.unbounded_send(reply.verdict).is_ok());
        // The request was sent elsewhere in the meantime, so release the slot that was taken for
        // it.
        if !delivered && matches!(reply.verdict, PlacementVerdict::Placed(_)) {
            self.release(placement_id);
        }
    }

    /// Runs expired timers.
    pub(crate) fn expire(&self, fleet: &mut Fleet, now: Millis) {
        let mut placer = lock(&self.placer);
        placer.expire(fleet, now);
        self.send_replies(&mut placer);
    }

    fn send_update(&self, placement_id: Option<PlacementId>, kind: UpdateKind) {
        if let Some(placement_id) = placement_id {
            let updates = lock(&self.client).record_update(placement_id, kind);
            self.send(placement_id.placer, &Packet::Updates(updates));
        }
    }

    fn send(&self, to: SocketAddr, packet: &Packet) {
        if let Some(socket) = self.socket.get() {
            // The datagram may be lost, refused or dropped for lack of buffer space; the receiver
            // continues without it.
            let _ = socket.send_to(&packet.encode(), to);
        }
    }
}

/// Why the placer didn't reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// There is no placer.
    NoPlacer,
    /// It isn't asked, because it was unresponsive.
    Silent,
    /// The reply didn't arrive in time.
    Timeout,
}

/// A query for the placer.
#[derive(Clone)]
pub(crate) struct PlacementQuery<'a> {
    pub(crate) need: &'a Need,
    /// This instance's availability zone.
    pub(crate) zone: &'a str,
    /// Time left until the deadline of the request.
    pub(crate) remaining: Millis,
    /// Engines that were already tried, by hashes of their names.
    pub(crate) tried: Vec<u32>,
    /// Servers that asked this instance for rest, by hashes of their names.
    pub(crate) resting: Vec<u32>,
    /// On which terms it may wait in line.
    pub(crate) line: Option<LineTerms>,
    pub(crate) clock: Clock,
}

/// The placer's decision on a query.
#[derive(Clone, Copy)]
pub(crate) struct PlacementAnswer {
    pub(crate) placement_id: PlacementId,
    pub(crate) verdict: PlacementVerdict,
    /// How long the request waited in line; `None` if it didn't.
    pub(crate) waited: Option<Millis>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
