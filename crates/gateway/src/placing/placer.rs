//! The requests that this instance placed for others, as a state machine beside its [`Fleet`].

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushold_admission::LineEnd;
use crocushold_admission::LineGroupKey;
use crocushold_admission::WaiterKey;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::NoServer;
use crocushold_routing::Outcome;
use crocushold_routing::Reason;

use super::message::LineTerms;
use super::message::PlacementReply;
use super::message::PlacementRequest;
use super::message::PlacementVerdict;
use super::message::RequestEnd;
use super::message::RequestUpdate;
use super::message::UpdateKind;
use super::refused::SentRefusals;
use super::waiting::Decided;
use super::waiting::LineReport;
use super::waiting::WaitingRequests;
use super::waiting::refused;
use crate::fleet::Choice;
use crate::fleet::Fleet;
use crate::fleet::ProbeTarget;

/// Maximum number of placed requests: some seconds of the 2,000 per second that a placer is
/// expected to handle at most, with a third of a kilobyte each. Beyond that, instances choose by
/// themselves.
const MAX_PLACED: usize = 16 * 1024;

/// How long a request is kept beyond its deadline. By then its end is being reported, or its
/// instance is gone.
const EXPIRY_GRACE: Millis = Millis(500);

#[derive(Clone, Debug)]
struct PlacedRequest {
    choice: Choice,
    reply: PlacementReply,
    started: bool,
    expires: Millis,
    /// Its key in the line, if it came from there.
    waiter: Option<WaiterKey>,
    /// Whether this instance sends it itself, and reports its events to the fleet.
    is_own: bool,
}

impl PlacedRequest {
    /// A request with `remaining` time until its deadline.
    fn new(choice: Choice, reply: PlacementReply, remaining: Millis, now: Millis) -> PlacedRequest {
        PlacedRequest {
            choice,
            reply,
            started: false,
            expires: now + remaining + EXPIRY_GRACE,
            waiter: None,
            is_own: false,
        }
    }
}

/// The requests that this instance placed for others.
#[derive(Debug, Default)]
pub struct Placer {
    placed: HashMap<(SocketAddr, u32), PlacedRequest>,
    /// Requests whose connections failed, with the outcomes, until a probe shows whether the server
    /// is the cause. Their slots are taken until then.
    doubted: HashMap<ServerKey, Vec<(Choice, Outcome)>>,
    /// The requests that wait in line; `None` if none may.
    waiting: Option<WaitingRequests>,
    /// The refusals of the line that may have been lost.
    refused: SentRefusals,
    /// Decisions on requests that waited, to be sent to their instances.
    replies: Vec<(SocketAddr, PlacementReply)>,
}

impl Placer {
    /// Creates a placer at which requests wait in line while no engine can begin them soon.
    pub fn with_line() -> Placer {
        Placer {
            waiting: Some(WaitingRequests::default()),
            ..Placer::default()
        }
    }

    /// Number of requests that wait in line.
    pub fn waiting(&self) -> usize {
        self.waiting.as_ref().map_or(0, WaitingRequests::len)
    }

    /// Reports on the line since the last call.
    pub fn take_line_report(&mut self, now: Millis) -> LineReport {
        let waiting = self.waiting.as_mut();
        waiting.map_or_else(LineReport::default, |waiting| waiting.take_report(now))
    }

    /// Takes the decisions on requests that waited, to be sent to their instances.
    pub fn take_replies(&mut self) -> Vec<(SocketAddr, PlacementReply)> {
        std::mem::take(&mut self.replies)
    }

    /// Offers the waiting requests to the engines. To be called every few milliseconds while there
    /// are any.
    pub fn serve_line(&mut self, fleet: &mut Fleet, now: Millis) {
        if let Some(waiting) = &mut self.waiting {
            let decided = waiting.offer_due(fleet, now);
            self.record_decisions(decided, now);
        }
    }

    /// Takes over a request of this instance that it placed itself: its events are reported to the
    /// fleet where it is sent. `None` if it isn't placed any more.
    pub fn take_own(&mut self, from: SocketAddr, number: u32) -> Option<Choice> {
        let placed = self.placed.get_mut(&(from, number))?;
        placed.is_own = true;
        Some(placed.choice.clone())
    }

    /// Number of placed requests.
    pub fn len(&self) -> usize {
        self.placed.len()
    }

    /// Whether there are no placed requests.
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty()
    }

    /// Chooses an engine for a request of `from` and takes one of its slots.
    ///
    /// A duplicate request gets the same reply, since the network may duplicate datagrams.
    pub fn place(
        &mut self,
        fleet: &mut Fleet,
        from: SocketAddr,
        request: &PlacementRequest,
        now: Millis,
    ) -> PlacementReply {
        let number = request.number;
        if let Some(placed) = self.placed.get(&(from, number)) {
            return placed.reply;
        }
        let unable = PlacementReply {
            number,
            verdict: PlacementVerdict::Unable,
        };
        if self.placed.len() >= MAX_PLACED {
            return unable;
        }
        if let Some(verdict) = self.refused.find(&(from, number), now) {
            return PlacementReply { number, verdict };
        }
        if let Some(terms) = request.line
            && self.waiting.is_some()
            && fleet.supports_line(&request.need, now)
        {
            return self.place_in_line(fleet, from, request, terms, now);
        }
        match fleet.place(request, now) {
            Ok(choice) => {
                let verdict = PlacementVerdict::Placed(choice.placed());
                let reply = PlacementReply { number, verdict };
                let placed = PlacedRequest::new(choice, reply, request.remaining, now);
                self.placed.insert((from, number), placed);
                reply
            }
            Err(NoServer {
                reason: Reason::Late { wait },
                retry_after: retry_delay,
            }) => PlacementReply {
                number,
                verdict: PlacementVerdict::Late { wait, retry_delay },
            },
            Err(none) if none.reason == Reason::Busy && fleet.is_brittle(&request.need) => {
                let retry_delay = none.retry_after;
                let verdict = PlacementVerdict::Full { retry_delay };
                PlacementReply { number, verdict }
            }
            Err(_) => unable,
        }
    }

    /// Places a request if an engine can begin it soon and no other one goes first; otherwise it waits.
    fn place_in_line(
        &mut self,
        fleet: &mut Fleet,
        from: SocketAddr,
        request: &PlacementRequest,
        terms: LineTerms,
        now: Millis,
    ) -> PlacementReply {
        let number = request.number;
        let reply = |verdict| PlacementReply { number, verdict };
        let asker = (from, number);
        let Some(waiting) = &mut self.waiting else {
            return reply(PlacementVerdict::Unable);
        };
        let group = match waiting.renew(&asker, now) {
            Some(group) if !waiting.may_find_room(group, now) => {
                return reply(PlacementVerdict::Waiting);
            }
            Some(group) => group,
            None => {
                fleet.record_demand(&request.need, &request.tried, now);
                match waiting.join(fleet, asker, request, terms, now) {
                    Ok(group) => group,
                    Err(refusal) => {
                        let verdict = refused(refusal);
                        self.refused.record(asker, verdict, now);
                        return reply(verdict);
                    }
                }
            }
        };
        self.offer(fleet, group, now);
        let own = |(to, reply): &(SocketAddr, PlacementReply)| (*to, reply.number) == asker;
        match self.replies.iter().position(own) {
            Some(at) => self.replies.swap_remove(at).1,
            None => reply(PlacementVerdict::Waiting),
        }
    }

    fn offer(&mut self, fleet: &mut Fleet, group: LineGroupKey, now: Millis) {
        if let Some(waiting) = &mut self.waiting {
            let decided = waiting.offer(fleet, group, now);
            self.record_decisions(decided, now);
        }
    }

    fn record_decisions(&mut self, decided: Vec<Decided>, now: Millis) {
        for Decided {
            asker,
            verdict,
            placed,
        } in decided
        {
            let (from, number) = asker;
            let reply = PlacementReply { number, verdict };
            self.replies.push((from, reply));
            if matches!(verdict, PlacementVerdict::Refused { .. }) {
                self.refused.record(asker, verdict, now);
            }
            if let Some((choice, waiter, remaining)) = placed {
                let placed = PlacedRequest {
                    waiter: Some(waiter),
                    ..PlacedRequest::new(choice, reply, remaining, now)
                };
                self.placed.insert(asker, placed);
            }
        }
    }

    /// Offers the waiting requests what a placed one leaves: to those of its group, or to all if it
    /// didn't come from the line.
    fn offer_freed(&mut self, fleet: &mut Fleet, waiter: Option<WaiterKey>, now: Millis) {
        let Some(waiting) = &mut self.waiting else {
            return;
        };
        waiting.record_change();
        match waiter {
            Some(waiter) => {
                let group = waiting.group_of(waiter);
                self.offer(fleet, group, now);
            }
            None => self.serve_line(fleet, now),
        }
    }

    /// Records that engines may have room for what waits.
    fn record_change(&mut self) {
        if let Some(waiting) = &mut self.waiting {
            waiting.record_change();
        }
    }

    /// Settles what a request from the line really used.
    fn settle(&mut self, fleet: &Fleet, placed: &PlacedRequest, ended: RequestEnd, now: Millis) {
        if let Some(waiting) = &mut self.waiting
            && let Some(waiter) = placed.waiter
        {
            let event_tokens = fleet.event_tokens(&placed.choice);
            waiting.finish(waiter, line_end(&ended, placed.started, event_tokens), now);
        }
    }

    /// Reports the end of a request to the fleet, unless that knows it by itself.
    fn record_end(
        &mut self,
        fleet: &mut Fleet,
        placed: &PlacedRequest,
        ended: RequestEnd,
        now: Millis,
    ) -> Option<ProbeTarget> {
        if placed.is_own {
            return None;
        }
        let choice = &placed.choice;
        if let Some(pause) = ended.pause {
            fleet.record_remote_pause(choice, pause);
        }
        if matches!(ended.result, Outcome::Refused | Outcome::Unreachable) {
            return self.doubt(fleet, choice.clone(), ended.result, now);
        }
        fleet.done(choice, ended.result, ended.tokens, now);
        None
    }

    /// Applies an update of a request of `from`. Updates may arrive late and more than once.
    ///
    /// A connection that another instance couldn't open shows either a server or the network path
    /// of that instance. If it counted against the server, an instance without a path would take
    /// sound servers out of use for all. Returns the server to probe instead, whose result is passed
    /// to [`Placer::record_probe`].
    pub fn apply_update(
        &mut self,
        fleet: &mut Fleet,
        from: SocketAddr,
        update: RequestUpdate,
        now: Millis,
    ) -> Option<ProbeTarget> {
        let key = (from, update.number);
        if let Some(waiting) = &mut self.waiting
            && waiting.contains(&key)
        {
            if matches!(update.kind, UpdateKind::Ended(_)) {
                waiting.leave(&key, now);
            }
            return None;
        }
        let placed = self.placed.get_mut(&key)?;
        match update.kind {
            UpdateKind::Started(_) | UpdateKind::StartedAtPace(..) => {
                if placed.started {
                    return None;
                }
                placed.started = true;
                // This instance has recorded its own requests already.
                if !placed.is_own {
                    // The report says how fast the engine was, so it comes first.
                    if let Some(load) = update.kind.load() {
                        fleet.record_load(&placed.choice, load, now);
                    }
                    fleet.first_byte(&placed.choice, now);
                }
                let waiter = placed.waiter;
                self.offer_freed(fleet, waiter, now);
                None
            }
            UpdateKind::Ended(ended) => {
                let placed = self.placed.remove(&key)?;
                let probe = self.record_end(fleet, &placed, ended, now);
                self.settle(fleet, &placed, ended, now);
                self.offer_freed(fleet, placed.waiter, now);
                probe
            }
        }
    }

    /// Keeps the outcome of a failed connection until a probe has ended. Returns the server to
    /// probe, unless it is being probed.
    fn doubt(
        &mut self,
        fleet: &mut Fleet,
        choice: Choice,
        outcome: Outcome,
        now: Millis,
    ) -> Option<ProbeTarget> {
        let Some(target) = fleet.probe_target(&choice) else {
            fleet.done(&choice, Outcome::Cancelled, 0, now);
            return None;
        };
        let doubted = self.doubted.entry(choice.server).or_default();
        doubted.push((choice, outcome));
        (doubted.len() == 1).then_some(target)
    }

    /// Applies the outcomes of failed connections to a server after it was probed. They count
    /// against it if this instance can't reach it either.
    pub fn record_probe(
        &mut self,
        fleet: &mut Fleet,
        server: ServerKey,
        is_reachable: bool,
        now: Millis,
    ) {
        self.record_change();
        for (choice, outcome) in self.doubted.remove(&server).unwrap_or_default() {
            let outcome = if is_reachable {
                Outcome::Cancelled
            } else {
                outcome
            };
            fleet.done(&choice, outcome, 0, now);
        }
    }

    /// Releases the slots of requests whose end wasn't reported, because their instance or the
    /// update was lost.
    pub fn expire(&mut self, fleet: &mut Fleet, now: Millis) {
        let expired = self.placed.extract_if(|_, placed| placed.expires <= now);
        let expired: Vec<PlacedRequest> = expired.map(|(_, placed)| placed).collect();
        if !expired.is_empty() {
            self.record_change();
        }
        for placed in expired {
            let lost = RequestEnd {
                result: Outcome::Cancelled,
                tokens: 0,
                pause: None,
            };
            self.record_end(fleet, &placed, lost, now);
            self.settle(fleet, &placed, lost, now);
        }
    }
}

/// How a request ended, as the line counts it. Instances count events, of `event_tokens` each.
fn line_end(ended: &RequestEnd, started: bool, event_tokens: u32) -> LineEnd {
    let tokens = ended.tokens.saturating_mul(event_tokens);
    match ended.result {
        Outcome::Complete => LineEnd::Complete(tokens),
        _ if started => LineEnd::Partial(tokens),
        _ => LineEnd::NotRun,
    }
}
