//! Dispatches queued requests to servers.

use std::net::SocketAddr;

use crocushold_admission::Action;
use crocushold_admission::Admission;
use crocushold_admission::Arrival;
use crocushold_admission::Dispatched;
use crocushold_admission::Ticket;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::RequestKey;
use crocushold_base::ServerKey;
use crocushold_routing::Decision;
use crocushold_routing::NoServer;
use crocushold_routing::Outcome;
use crocushold_routing::Pick;
use crocushold_routing::Ran;
use crocushold_routing::Reason;
use crocushold_routing::RequestFacts;
use crocushold_routing::Stage;
use futures::channel::oneshot;
use log::info;

use super::State;
use super::queue::Deferred;
use super::queue::Dispatch;
use super::queue::NoRetry;
use super::queue::QueueEntry;
use super::queue::QueueResult;
use super::queue::QueuedRequest;
use super::queue::Requirements;
use crate::refusal::Refusal;

/// Maximum number of requests that are deferred in one round because no server is available.
const MAX_DEFERRED: usize = 16;

impl State {
    pub(super) fn submit(
        &mut self,
        arrival: &Arrival,
        requirements: Requirements,
        now: Millis,
    ) -> Result<QueuedRequest, Refusal> {
        if let Some(model) = requirements.model {
            self.demand.record(model, requirements.tier, now);
        }
        let key = match self.scheduler.submit(arrival, now) {
            Admission::Queued(key) => key,
            Admission::Refused(refusal) => return Err(Refusal::from_admission(&refusal)),
        };
        let (sender, queue_result) = oneshot::channel();
        let entry = QueueEntry {
            queue_result: sender,
            requirements,
            tried: Vec::new(),
        };
        self.queued.insert(key, entry);
        Ok(QueuedRequest { key, queue_result })
    }

    pub(super) fn cancel(&mut self, key: RequestKey, now: Millis) {
        self.queued.remove(&key);
        self.scheduler.cancel(key, 0, now);
    }

    /// Executes the scheduler's actions until there are none.
    ///
    /// If the reach is widened, the new servers are used immediately: without another event, the
    /// requests that need them would wait until the next tick.
    pub(super) fn run_scheduler(&mut self, now: Millis) {
        while self.run_scheduler_round(now) {}
    }

    /// Runs one round. Returns true if it widened the reach.
    ///
    /// A request for which no server is available is deferred while others are tried: a model whose
    /// servers are all busy must not block requests for other models.
    fn run_scheduler_round(&mut self, now: Millis) -> bool {
        let mut deferred = Vec::new();
        let mut shortage = None;
        while deferred.len() < MAX_DEFERRED {
            let free = u32::try_from(self.router.free(now)).unwrap_or(u32::MAX);
            match self.scheduler.next(now, free) {
                None => break,
                Some(Action::Refuse(refused)) => {
                    let refusal = Refusal::from_admission(&refused.refusal);
                    self.notify(refused.key, QueueResult::Refused(refusal));
                }
                Some(Action::Dispatch(ticket)) => {
                    if let Err(request) = self.dispatch(ticket, now) {
                        shortage = shortage.or(Some((request.reason, request.model)));
                        deferred.push(request.ticket);
                    }
                }
            }
        }
        for ticket in deferred {
            self.scheduler.requeue(ticket, now);
        }
        self.adapt_reach(shortage, now)
    }

    /// Dispatches a request to a server. Returns the ticket if no server is available.
    fn dispatch(&mut self, ticket: Ticket<Dispatched>, now: Millis) -> Result<(), Deferred> {
        let key = ticket.key();
        let Some(entry) = self.queued.get(&key) else {
            self.scheduler.cancel(key, 0, now);
            return Ok(());
        };
        let (requirements, tried) = (entry.requirements, entry.tried.clone());
        match self.pick_preferring_untried(&requirements, &tried, now) {
            Ok((pick, address)) => {
                if tried.is_empty() {
                    self.retry.first_attempt(now);
                }
                let dispatch = Dispatch {
                    ticket,
                    pick,
                    address,
                };
                self.deliver(dispatch, now);
                Ok(())
            }
            // Otherwise a server that is not in reach or has not reported yet may hold the model.
            Err(none) if none.reason == Reason::NoModel && self.reach.is_exhausted(now) => {
                self.scheduler.cancel(key, 0, now);
                self.notify(key, QueueResult::Refused(Refusal::from_routing(&none)));
                Ok(())
            }
            Err(none) => Err(Deferred {
                ticket,
                reason: none.reason,
                model: requirements.model,
            }),
        }
    }

    /// Picks a server that was not tried. If there is none, picks one that was: it may have
    /// recovered while the request was queued, and the request would wait for another one forever.
    fn pick_preferring_untried(
        &mut self,
        requirements: &Requirements,
        tried: &[ServerKey],
        now: Millis,
    ) -> Result<(Pick, SocketAddr), NoServer> {
        match self.pick(requirements, tried, now) {
            Err(none) if matches!(none.reason, Reason::Tried | Reason::Resting) => {
                self.pick(requirements, &[], now)
            }
            result => result,
        }
    }

    fn deliver(&mut self, dispatch: Dispatch, now: Millis) {
        let key = dispatch.ticket.key();
        let attempt = dispatch.pick.attempt;
        if !self.notify(key, QueueResult::Dispatched(dispatch)) {
            // The caller disconnected after the dispatch and nothing was sent, so both slots are
            // released.
            self.router.done(attempt, Outcome::Cancelled, 0, now);
            self.scheduler.cancel(key, 0, now);
        }
    }

    fn notify(&mut self, key: RequestKey, queue_result: QueueResult) -> bool {
        let entry = self.queued.remove(&key);
        entry.is_some_and(|entry| entry.queue_result.send(queue_result).is_ok())
    }

    /// Records that a server asks this instance for a rest of `span`.
    pub(crate) fn record_rest(&mut self, server: ServerKey, span: Millis, now: Millis) {
        let Some(address) = self.addresses.get(&server) else {
            return;
        };
        if self.rests.record(server, span, now) {
            let event = Event::new("server-resting")
                .with("service", &self.service)
                .with("server", address)
                .with("for", span);
            info!("{event}");
        }
    }

    /// Lets the servers whose rest has ended get requests again.
    pub(super) fn end_rests(&mut self, now: Millis) {
        for server in self.rests.take_ended(now) {
            self.router.end_rest(server);
        }
    }

    pub(super) fn pick(
        &mut self,
        requirements: &Requirements,
        exclude: &[ServerKey],
        now: Millis,
    ) -> Result<(Pick, SocketAddr), NoServer> {
        self.end_rests(now);
        let demand = requirements.demand(exclude, self.rests.active());
        let pick = self.router.pick(&demand, now)?;
        let address = self.addresses.get(&pick.server).copied();
        address.map(|address| (pick, address)).ok_or(NoServer {
            reason: Reason::Out,
            retry_after: Millis::from_secs(1),
        })
    }

    pub(super) fn pick_for_retry(
        &mut self,
        facts: &RequestFacts,
        stage: Stage,
        requirements: &Requirements,
        tried: &[ServerKey],
        now: Millis,
    ) -> Result<(Pick, SocketAddr), NoRetry> {
        match self.retry.after_failure(facts, stage, now) {
            Decision::Retry => {}
            give_up @ Decision::GiveUp { .. } => return Err(NoRetry::Final(give_up)),
        }
        let clean = stage.proves_not_run() && !facts.written;
        self.pick_untried_server(requirements, tried, now)
            .map_err(|none| {
                let decision = Decision::GiveUp {
                    ran: if clean { Ran::No } else { Ran::Unknown },
                    retry_after: clean.then_some(none.retry_after),
                };
                match none.reason {
                    Reason::Busy => NoRetry::Busy(decision),
                    _ => NoRetry::Final(decision),
                }
            })
    }
}
