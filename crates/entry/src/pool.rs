//! The scheduler and the router of one service, under one lock.

mod demand;
mod dispatch;
mod queue;
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
use crocushold_admission::Arrival;
use crocushold_admission::Dispatched;
use crocushold_admission::HeadroomSettings;
use crocushold_admission::Scheduler;
use crocushold_admission::Ticket;
use crocushold_base::Clock;
use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::RequestKey;
use crocushold_base::ServerKey;
use crocushold_routing as routing;
use crocushold_routing::AttemptKey;
use crocushold_routing::HealthSettings;
use crocushold_routing::Outcome;
use crocushold_routing::Pick;
use crocushold_routing::RequestFacts;
use crocushold_routing::Rests;
use crocushold_routing::RetryPolicy;
use crocushold_routing::RetrySettings;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::ServerSubset;
use crocushold_routing::Stage;
use futures::channel::oneshot;

use crate::pool::demand::RecentDemand;
pub(crate) use crate::pool::queue::Dispatch;
pub(crate) use crate::pool::queue::NoRetry;
use crate::pool::queue::QueueEntry;
pub(crate) use crate::pool::queue::QueueResult;
pub(crate) use crate::pool::queue::QueuedRequest;
pub(crate) use crate::pool::queue::Requirements;
pub(crate) use crate::pool::reach::ServerGroup;
use crate::refusal::Refusal;

#[cfg(test)]
mod tests;

/// Maximum sleep of a pool's timer task. The router has to be called about once a second.
const MAX_TIMER_SLEEP: Millis = Millis(500);

/// Window in which arrivals of tier 0 are counted to size the headroom: the part of a target of a
/// few hundred milliseconds that is left for waiting. Over seconds, released slots absorb any
/// burst; within the target they don't.
const HEADROOM_WINDOW: Millis = Millis(250);

/// Maximum share of slots kept free as headroom.
const MAX_HEADROOM: f64 = 0.05;

/// Number of consecutive slow samples after which a straggler is ejected.
const SLOW_SAMPLES: u32 = 3;

/// Minimum share of slots that lower tiers leave free, rounded up to a whole slot.
///
/// Running requests are never preempted. Without a free slot, a batch of long responses that holds
/// all slots makes every request of tier 0 wait beyond its maximum, which sheds it in favor of a
/// lower tier.
const MIN_HEADROOM: f64 = 0.01;

/// The mutable state of a pool. One lock holds both scheduler and router, since a dispatch takes a
/// slot of each.
pub(crate) struct State {
    pub(crate) scheduler: Scheduler,
    pub(crate) router: Router,
    pub(crate) addresses: HashMap<ServerKey, SocketAddr>,
    /// The service's name, for log events.
    service: String,
    /// The configured servers, each with every model of the service.
    servers: Vec<ServerSpec>,
    /// The servers that this instance uses.
    pub(crate) reach: ServerSubset,
    /// The model that last had no server.
    missing_model: Option<ModelKey>,
    /// Whether some model is configured for some of the servers only.
    heterogeneous: bool,
    /// The models that servers reported to hold.
    loaded: HashMap<ServerKey, Vec<ModelKey>>,
    retry: RetryPolicy,
    /// Servers that asked this instance for rest.
    rests: Rests,
    queued: HashMap<RequestKey, QueueEntry>,
    pub(crate) demand: RecentDemand,
}

/// Settings of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSettings {
    /// The service's name.
    pub(crate) service: String,
    /// The instance's availability zone.
    pub(crate) zone: String,
    /// Seed for random choices.
    pub(crate) seed: u64,
    /// Number of entry instances that send to one server.
    pub(crate) senders: usize,
    /// Maximum size of all queued requests, in bytes.
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
    /// Creates a pool without classes or servers.
    pub(crate) fn new(clock: Clock, settings: &PoolSettings) -> Arc<Pool> {
        let (wake, woken) = bounded(1);
        let scheduler = admission::Settings {
            seed: settings.seed,
            queue_bytes: settings.queue_bytes,
            headroom: HeadroomSettings {
                max_share: MAX_HEADROOM,
                window: HEADROOM_WINDOW,
                min_share: MIN_HEADROOM,
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
            heterogeneous: false,
            reach: ServerSubset::new(settings.senders),
            missing_model: None,
            loaded: HashMap::new(),
            retry: RetryPolicy::new(RetrySettings::default(), clock.now()),
            rests: Rests::new(settings.seed),
            queued: HashMap::new(),
            demand: RecentDemand::default(),
        };
        Arc::new(Pool {
            clock,
            state: Mutex::new(state),
            wake,
            woken,
        })
    }

    /// Locks the state. Every call into a state machine leaves it consistent, so a panic elsewhere
    /// while the lock was held doesn't make it unusable.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state, then dispatches the requests that can start.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut State, Millis) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.lock();
        let result = change(&mut state, now);
        state.run_scheduler(now);
        result
    }

    /// Queues a request, or refuses it.
    pub(crate) fn submit(
        &self,
        arrival: &Arrival,
        requirements: Requirements,
    ) -> Result<QueuedRequest, Refusal> {
        let queued = self.update(|state, now| state.submit(arrival, requirements, now))?;
        // If the channel is full, a wake-up is already pending.
        let _ = self.wake.try_send(());
        Ok(queued)
    }

    /// Removes a request whose caller disconnected while it was queued.
    ///
    /// The request may already be dispatched, if the caller disconnects between the dispatch and
    /// the next run of its task. The chosen server then holds a slot that nobody else would
    /// release. Results are sent under the lock, so none arrives after this check.
    pub(crate) fn withdraw(&self, mut queued: QueuedRequest) {
        self.update(|state, now| {
            if let Ok(Some(QueueResult::Dispatched(dispatch))) = queued.queue_result.try_recv() {
                let attempt = dispatch.pick.attempt;
                state.router.done(attempt, Outcome::Cancelled, 0, now);
            }
            state.cancel(queued.key, now);
        });
    }

    /// Chooses another server after a failed attempt, or gives up.
    pub(crate) fn retry(
        &self,
        facts: &RequestFacts,
        stage: Stage,
        requirements: &Requirements,
        tried: &[ServerKey],
    ) -> Result<(Pick, SocketAddr), NoRetry> {
        self.update(|state, now| state.pick_for_retry(facts, stage, requirements, tried, now))
    }

    /// Puts a request whose attempt failed back into the queue, at its position by arrival.
    ///
    /// When a server fails, the remaining ones are soon full. If the request were given up
    /// immediately, a request of tier 0 would fail while the next free slots go to lower tiers
    /// behind it.
    pub(crate) fn requeue(
        &self,
        ticket: Ticket<Dispatched>,
        requirements: Requirements,
        tried: Vec<ServerKey>,
    ) -> QueuedRequest {
        let (sender, queue_result) = oneshot::channel();
        let key = ticket.key();
        let entry = QueueEntry {
            queue_result: sender,
            requirements,
            tried,
        };
        self.update(|state, now| {
            state.queued.insert(key, entry);
            state.scheduler.requeue(ticket, now);
        });
        let _ = self.wake.try_send(());
        QueuedRequest { key, queue_result }
    }

    /// Ends an attempt at a server.
    pub(crate) fn end_attempt(&self, attempt: AttemptKey, outcome: Outcome, tokens: u32) {
        self.update(|state, now| state.router.done(attempt, outcome, tokens, now));
    }

    /// Ends a request in any state.
    pub(crate) fn cancel(&self, key: RequestKey) {
        self.update(|state, now| state.cancel(key, now));
    }

    /// Runs the pool's timers until no one else holds the pool.
    pub(crate) async fn run_timers(self: Arc<Pool>) {
        while Arc::strong_count(&self) > 1 {
            let wait = self.update(|state, now| {
                state.end_rests(now);
                state.router.tick(now);
                let at = state.scheduler.wake_at().unwrap_or(Millis::MAX);
                at.since(now).max(Millis(1)).min(MAX_TIMER_SLEEP)
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
