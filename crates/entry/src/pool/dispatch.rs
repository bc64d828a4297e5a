//! Whose turn it is, and at which server.

use std::net::SocketAddr;

use crocushold_admission::Action;
use crocushold_admission::Admission;
use crocushold_admission::Arrival;
use crocushold_admission::Dispatched;
use crocushold_admission::Ticket;
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

use super::State;
use super::turn::Aside;
use super::turn::Need;
use super::turn::NoRepeat;
use super::turn::Start;
use super::turn::Turn;
use super::turn::Waiter;
use super::turn::Waiting;
use crate::refusal::Refusal;

/// Requests set aside in one round because no server could be had for them.
const MAX_ASIDE: usize = 16;

impl State {
    pub(super) fn submit(
        &mut self,
        arrival: &Arrival,
        need: Need,
        now: Millis,
    ) -> Result<Waiting, Refusal> {
        if let Some(model) = need.model {
            self.demand.note(model, need.tier, now);
        }
        let key = match self.scheduler.submit(arrival, now) {
            Admission::Queued(key) => key,
            Admission::Refused(refusal) => return Err(Refusal::from_admission(&refusal)),
        };
        let (sender, turn) = oneshot::channel();
        let waiter = Waiter {
            turn: sender,
            need,
            tried: Vec::new(),
        };
        self.waiting.insert(key, waiter);
        Ok(Waiting { key, turn })
    }

    pub(super) fn cancel(&mut self, key: RequestKey, now: Millis) {
        self.waiting.remove(&key);
        self.scheduler.cancel(key, 0, now);
    }

    /// Carries out the scheduler's actions until there are none.
    ///
    /// What a wider reach brings in is given out at once: without another event, the requests that
    /// lacked it would wait for the next tick.
    pub(super) fn pump(&mut self, now: Millis) {
        while self.pump_round(now) {}
    }

    /// One round; true when the reach was widened by it.
    ///
    /// A request for which no server can be had is set aside while others are tried: a model whose
    /// servers are all busy must not hold up the requests for the other models behind it.
    fn pump_round(&mut self, now: Millis) -> bool {
        let mut aside = Vec::new();
        let mut lack = None;
        while aside.len() < MAX_ASIDE {
            let free = u32::try_from(self.router.free(now)).unwrap_or(u32::MAX);
            match self.scheduler.next(now, free) {
                None => break,
                Some(Action::Refuse(refused)) => {
                    let refusal = Refusal::from_admission(&refused.refusal);
                    self.tell(refused.key, Turn::Refused(refusal));
                }
                Some(Action::Dispatch(ticket)) => {
                    if let Err(set) = self.dispatch(ticket, now) {
                        lack = lack.or(Some((set.reason, set.model)));
                        aside.push(set.ticket);
                    }
                }
            }
        }
        for ticket in aside {
            self.scheduler.requeue(ticket, now);
        }
        self.follow_lack(lack, now)
    }

    /// Sends a dispatched request on its way; gives the ticket back when no server could be had.
    fn dispatch(&mut self, ticket: Ticket<Dispatched>, now: Millis) -> Result<(), Aside> {
        let key = ticket.key();
        let Some(waiter) = self.waiting.get(&key) else {
            self.scheduler.cancel(key, 0, now);
            return Ok(());
        };
        let (need, tried) = (waiter.need, waiter.tried.clone());
        match self.pick_preferred(&need, &tried, now) {
            Ok((pick, address)) => {
                if tried.is_empty() {
                    self.retry.first_attempt(now);
                }
                let start = Start {
                    ticket,
                    pick,
                    address,
                };
                self.start(start, now);
                Ok(())
            }
            // Else a server that isn't in reach, or hasn't reported yet, may hold the model.
            Err(none) if none.reason == Reason::NoModel && self.reach.is_exhausted(now) => {
                self.scheduler.cancel(key, 0, now);
                self.tell(key, Turn::Refused(Refusal::from_routing(&none)));
                Ok(())
            }
            Err(none) => Err(Aside {
                ticket,
                reason: none.reason,
                model: need.model,
            }),
        }
    }

    /// Picks a server that wasn't tried. When none is left, one that was: it may have recovered while
    /// the request waited, and the request would wait for ever for another.
    fn pick_preferred(
        &mut self,
        need: &Need,
        tried: &[ServerKey],
        now: Millis,
    ) -> Result<(Pick, SocketAddr), NoServer> {
        match self.pick(need, tried, now) {
            Err(none) if none.reason == Reason::Tried => self.pick(need, &[], now),
            result => result,
        }
    }

    fn start(&mut self, start: Start, now: Millis) {
        let key = start.ticket.key();
        let attempt = start.pick.attempt;
        if !self.tell(key, Turn::Start(start)) {
            // The caller left between the queue and here: nothing was sent, so both slots return.
            self.router.done(attempt, Outcome::Cancelled, 0, now);
            self.scheduler.cancel(key, 0, now);
        }
    }

    fn tell(&mut self, key: RequestKey, turn: Turn) -> bool {
        let waiter = self.waiting.remove(&key);
        waiter.is_some_and(|waiter| waiter.turn.send(turn).is_ok())
    }

    pub(super) fn pick(
        &mut self,
        need: &Need,
        exclude: &[ServerKey],
        now: Millis,
    ) -> Result<(Pick, SocketAddr), NoServer> {
        let pick = self.router.pick(&need.demand(exclude), now)?;
        let address = self.addresses.get(&pick.server).copied();
        address.map(|address| (pick, address)).ok_or(NoServer {
            reason: Reason::Out,
            retry_after: Millis::from_secs(1),
        })
    }

    pub(super) fn repick(
        &mut self,
        facts: &RequestFacts,
        stage: Stage,
        need: &Need,
        tried: &[ServerKey],
        now: Millis,
    ) -> Result<(Pick, SocketAddr), NoRepeat> {
        match self.retry.after_failure(facts, stage, now) {
            Decision::Retry => {}
            give_up @ Decision::GiveUp { .. } => return Err(NoRepeat::Final(give_up)),
        }
        let clean = stage.proves_not_run() && !facts.written;
        self.pick_again(need, tried, now).map_err(|none| {
            let decision = Decision::GiveUp {
                ran: if clean { Ran::No } else { Ran::Unknown },
                retry_after: clean.then_some(none.retry_after),
            };
            match none.reason {
                Reason::Busy => NoRepeat::Busy(decision),
                _ => NoRepeat::Final(decision),
            }
        })
    }
}
