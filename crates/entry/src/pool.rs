//! The scheduler and the router of one service, under one lock.

mod demand;
mod reach;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::future::timeout;
use crocushold_admission as admission;
use crocushold_admission::Action;
use crocushold_admission::Arrival;
use crocushold_admission::Dispatched;
use crocushold_admission::HeadroomSettings;
use crocushold_admission::Scheduler;
use crocushold_admission::Ticket;
use crocushold_admission::Verdict;
use crocushold_base::Clock;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::RequestKey;
use crocushold_base::ServerKey;
use crocushold_routing as routing;
use crocushold_routing::Allotment;
use crocushold_routing::AttemptKey;
use crocushold_routing::Decision;
use crocushold_routing::Demand;
use crocushold_routing::EntryFleet;
use crocushold_routing::HealthSettings;
use crocushold_routing::Lack;
use crocushold_routing::NoServer;
use crocushold_routing::Outcome;
use crocushold_routing::Pick;
use crocushold_routing::Reach;
use crocushold_routing::Reason;
use crocushold_routing::RequestFacts;
use crocushold_routing::RetryPolicy;
use crocushold_routing::RetrySettings;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Stage;
use futures::channel::oneshot;
use log::info;

use crate::pool::demand::Demand as ModelDemand;
pub(crate) use crate::pool::reach::ServerGroup;
use crate::refusal::Refusal;

#[cfg(test)]
mod tests;

/// The longest sleep of a pool's timer task; the router wants to be called about once a second.
const TICK: Millis = Millis(500);

/// The window in which arrivals of the live tier are counted to size the headroom: what is left of a
/// target of a few hundred milliseconds for waiting. Over seconds, released slots absorb any burst;
/// within the target they don't.
const HEADROOM_WINDOW: Millis = Millis(250);

/// The greatest share of slots that the headroom keeps free.
const MOST_HEADROOM: f64 = 0.05;

/// Consecutive slow samples that eject a straggler.
const SLOW_SAMPLES: u32 = 3;

/// Requests set aside in one round because no server could be had for them.
const MAX_ASIDE: usize = 16;

/// Share of the slots that lower tiers always leave free, rounded up to a whole slot.
///
/// Started work is never preempted. Without a free slot, a batch of long answers that holds them all
/// makes every live request wait past its patience, which sheds it for a lower tier.
const LEAST_HEADROOM: f64 = 0.01;

/// What a waiting request is told.
#[derive(Debug)]
pub(crate) enum Turn {
    /// It may be sent to the server that was picked.
    Start(Start),
    /// It won't run.
    Refused(Refusal),
}

/// The right to send a request, and where to.
#[derive(Debug)]
pub(crate) struct Start {
    pub(crate) ticket: Ticket<Dispatched>,
    pub(crate) pick: Pick,
    pub(crate) address: SocketAddr,
}

/// What a request needs of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need {
    pub(crate) model: Option<ModelKey>,
    pub(crate) prefix: Option<u64>,
    pub(crate) tier: u8,
    pub(crate) idempotent: bool,
    pub(crate) tokens: u32,
}

impl Need {
    fn demand<'a>(&self, exclude: &'a [ServerKey]) -> Demand<'a> {
        Demand {
            model: self.model,
            prefix: self.prefix,
            priority: self.tier,
            idempotent: self.idempotent,
            tokens: self.tokens,
            exclude,
        }
    }
}

/// A dispatched request for which no server could be had.
struct Aside {
    ticket: Ticket<Dispatched>,
    reason: Reason,
    model: Option<ModelKey>,
}

struct Waiter {
    turn: oneshot::Sender<Turn>,
    need: Need,
    /// Servers at which it failed already.
    tried: Vec<ServerKey>,
}

/// Why a request isn't sent again at once.
#[derive(Debug)]
pub(crate) enum NoRepeat {
    /// It may be sent to a server that wasn't tried and has no free slot now.
    Busy(Decision),
    /// Its caller gets a final answer.
    Final(Decision),
}

impl NoRepeat {
    /// What to tell a caller that won't wait.
    pub(crate) fn decision(self) -> Decision {
        match self {
            NoRepeat::Busy(decision) | NoRepeat::Final(decision) => decision,
        }
    }
}

/// A request that was admitted and waits for its turn.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) key: RequestKey,
    pub(crate) turn: oneshot::Receiver<Turn>,
}

/// The mutable state of a pool. One lock holds scheduler and router together, since a dispatch
/// takes a slot of both.
pub(crate) struct State {
    pub(crate) scheduler: Scheduler,
    pub(crate) router: Router,
    pub(crate) addresses: HashMap<ServerKey, SocketAddr>,
    /// The service's name, for events.
    service: String,
    /// The servers as configured: each holds every model of the service.
    servers: Vec<ServerSpec>,
    /// Which of them this instance uses.
    pub(crate) reach: Reach,
    /// The model that last lacked a server.
    lacking: Option<ModelKey>,
    /// Whether some model is to be held by some of the servers only.
    mixed: bool,
    /// The models that servers reported to hold.
    loaded: HashMap<ServerKey, Vec<ModelKey>>,
    retry: RetryPolicy,
    waiting: HashMap<RequestKey, Waiter>,
    pub(crate) demand: ModelDemand,
}

/// Settings of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSettings {
    /// The service's name.
    pub(crate) service: String,
    /// The instance's availability zone.
    pub(crate) zone: String,
    /// Seed of random choices.
    pub(crate) seed: u64,
    /// Senders of a server.
    pub(crate) senders: usize,
    /// Most bytes of queued requests.
    pub(crate) queue_bytes: u64,
}

/// The scheduler and the router of one service.
pub(crate) struct Pool {
    clock: Clock,
    state: Mutex<State>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Pool {
    /// A pool without classes or servers.
    pub(crate) fn new(clock: Clock, settings: &PoolSettings) -> Arc<Pool> {
        let (wake, woken) = bounded(1);
        let scheduler = admission::Settings {
            seed: settings.seed,
            queue_bytes: settings.queue_bytes,
            headroom: HeadroomSettings {
                most: MOST_HEADROOM,
                window: HEADROOM_WINDOW,
                least: LEAST_HEADROOM,
                ..HeadroomSettings::default()
            },
            ..admission::Settings::default()
        };
        let state = State {
            scheduler: Scheduler::new(scheduler),
            router: Router::new(router_settings(), &settings.zone, settings.seed),
            addresses: HashMap::new(),
            service: settings.service.clone(),
            servers: Vec::new(),
            mixed: false,
            reach: Reach::new(settings.senders),
            lacking: None,
            loaded: HashMap::new(),
            retry: RetryPolicy::new(RetrySettings::default(), clock.now()),
            waiting: HashMap::new(),
            demand: ModelDemand::default(),
        };
        Arc::new(Pool {
            clock,
            state: Mutex::new(state),
            wake,
            woken,
        })
    }

    /// The state. Each call into a state machine leaves it whole, so a panic elsewhere while the
    /// lock was held doesn't make it unusable.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state, then starts whatever may start now.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut State, Millis) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.lock();
        let result = change(&mut state, now);
        state.pump(now);
        result
    }

    /// Admits a request to the queue, or refuses it.
    pub(crate) fn submit(&self, arrival: &Arrival, need: Need) -> Result<Waiting, Refusal> {
        let waiting = self.update(|state, now| state.submit(arrival, need, now))?;
        // A full channel holds a wake-up already.
        let _ = self.wake.try_send(());
        Ok(waiting)
    }

    /// Takes back a request whose caller left before it took its turn.
    ///
    /// The turn can have been sent already: the caller hangs up between the dispatch and the moment
    /// at which its task runs. The server that was picked holds a slot for it then, which nobody
    /// else would give back. Turns are sent under the lock, so none comes after this look.
    pub(crate) fn withdraw(&self, mut waiting: Waiting) {
        self.update(|state, now| {
            if let Ok(Some(Turn::Start(start))) = waiting.turn.try_recv() {
                let attempt = start.pick.attempt;
                state.router.done(attempt, Outcome::Cancelled, 0, now);
            }
            state.cancel(waiting.key, now);
        });
    }

    /// Chooses another server after a failed attempt, or gives the request up.
    pub(crate) fn retry(
        &self,
        facts: &RequestFacts,
        stage: Stage,
        need: &Need,
        tried: &[ServerKey],
    ) -> Result<(Pick, SocketAddr), NoRepeat> {
        self.update(|state, now| state.repick(facts, stage, need, tried, now))
    }

    /// Puts a request whose attempt failed back into the queue, at its place by arrival.
    ///
    /// When a server dies, those that are left are soon full. Given up on at once, a live request
    /// would lose its answer while the slots that come free next go to lower tiers behind it.
    pub(crate) fn requeue(
        &self,
        ticket: Ticket<Dispatched>,
        need: Need,
        tried: Vec<ServerKey>,
    ) -> Waiting {
        let (sender, turn) = oneshot::channel();
        let key = ticket.key();
        let waiter = Waiter {
            turn: sender,
            need,
            tried,
        };
        self.update(|state, now| {
            state.waiting.insert(key, waiter);
            state.scheduler.requeue(ticket, now);
        });
        let _ = self.wake.try_send(());
        Waiting { key, turn }
    }

    /// Ends an attempt at a server.
    pub(crate) fn end_attempt(&self, attempt: AttemptKey, outcome: Outcome, tokens: u32) {
        self.update(|state, now| state.router.done(attempt, outcome, tokens, now));
    }

    /// Ends a request at any point.
    pub(crate) fn cancel(&self, key: RequestKey) {
        self.update(|state, now| state.cancel(key, now));
    }

    /// Runs the pool's timers until the pool is dropped by everyone else.
    pub(crate) async fn run_timers(self: Arc<Pool>) {
        while Arc::strong_count(&self) > 1 {
            let wait = self.update(|state, now| {
                state.router.tick(now);
                let at = state.scheduler.wake_at().unwrap_or(Millis::MAX);
                at.since(now).max(Millis(1)).min(TICK)
            });
            let _ = timeout(wait.into(), self.woken.recv()).await;
        }
    }
}

fn router_settings() -> routing::Settings {
    routing::Settings {
        health: HealthSettings {
            slow_samples: SLOW_SAMPLES,
            ..HealthSettings::default()
        },
        ..routing::Settings::default()
    }
}

impl State {
    fn submit(&mut self, arrival: &Arrival, need: Need, now: Millis) -> Result<Waiting, Refusal> {
        if let Some(model) = need.model {
            self.demand.note(model, need.tier, now);
        }
        let key = match self.scheduler.submit(arrival, now) {
            Verdict::Queued(key) => key,
            Verdict::Refused(refusal) => return Err(Refusal::from_admission(&refusal)),
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

    fn cancel(&mut self, key: RequestKey, now: Millis) {
        self.waiting.remove(&key);
        self.scheduler.cancel(key, 0, now);
    }

    /// Carries out the scheduler's actions until there are none.
    ///
    /// What a wider reach brings in is given out at once: without another event, the requests that
    /// lacked it would wait for the next tick.
    fn pump(&mut self, now: Millis) {
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
            Err(none) if none.reason == Reason::NoModel && self.reach.is_searched(now) => {
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
            Err(none) if none.reason == routing::Reason::Tried => self.pick(need, &[], now),
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

    fn pick(
        &mut self,
        need: &Need,
        exclude: &[ServerKey],
        now: Millis,
    ) -> Result<(Pick, SocketAddr), NoServer> {
        let pick = self.router.pick(&need.demand(exclude), now)?;
        let address = self.addresses.get(&pick.server).copied();
        address.map(|address| (pick, address)).ok_or(NoServer {
            reason: routing::Reason::Out,
            retry_after: Millis::from_secs(1),
        })
    }

    fn repick(
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
                ran: if clean {
                    routing::Ran::No
                } else {
                    routing::Ran::Unknown
                },
                retry_after: clean.then_some(none.retry_after),
            };
            match none.reason {
                routing::Reason::Busy => NoRepeat::Busy(decision),
                _ => NoRepeat::Final(decision),
            }
        })
    }
}
