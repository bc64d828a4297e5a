//! The first second of an instance: what it has reached, and what requests may wait for.
//!
//! When many instances start at once, their callers have been waiting and return together. Those
//! that reach an instance while the store is sending the first configuration would be served by it
//! a moment later. A refusal sends them away for longer than that.

mod returns;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use async_std::future::timeout;
use crocushold_base::Event;
use crocushold_base::Millis;
use log::info;

use crate::sharing::Gossip;
use crate::signal::Signal;

pub use self::returns::ReturnTimes;
pub use self::returns::return_delay;

/// Longest wait for the first configuration. Live requests still meet most targets after it, and
/// it is the time that a request may wait for a server.
const MAX_WAIT: Millis = Millis(500);

/// Part of a caller's time that its request may wait.
const WAIT_DIVISOR: u64 = 4;

/// Longest wait of a request whose caller names no time limit.
const UNLIMITED_WAIT: Millis = Millis(250);

/// Longest wait for the first placer, and the part of its time that a request waits at most. Without
/// a placer each instance chooses without knowing what the others have sent. The queues that arise
/// that way last longer, and the shortest target allows the wait.
const PLACER_WAIT: Millis = Millis(100);
const PLACER_WAIT_DIVISOR: u64 = 10;

/// The steps of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum StartStep {
    /// Requests are accepted.
    Listening,
    /// The store was asked for everything.
    ListingAsked,
    /// The first configuration is in force.
    Configured,
    /// Another instance was heard.
    PeerHeard,
    /// The collector of the zone was chosen, after another instance was heard.
    Collector,
    /// The placer is known.
    Placer,
}

impl StartStep {
    fn label(self) -> &'static str {
        match self {
            StartStep::Listening => "listening",
            StartStep::ListingAsked => "listing-asked",
            StartStep::Configured => "configured",
            StartStep::PeerHeard => "peer-heard",
            StartStep::Collector => "collector",
            StartStep::Placer => "placer",
        }
    }
}

/// The first read of the store, as far as requests depend on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FirstRead {
    /// It hasn't begun, or the last try has failed.
    #[default]
    Idle,
    /// It runs.
    Running,
}

impl FirstRead {
    /// How long a request may wait for the end of the read, if its caller gives it `caller_limit`.
    ///
    /// Nothing waits while no read runs: a store that refuses or is gone may be so for long, and a
    /// final refusal is worth more the sooner it comes.
    pub fn longest_wait(self, caller_limit: Option<Millis>) -> Millis {
        match (self, caller_limit) {
            (FirstRead::Idle, _) => Millis::ZERO,
            (FirstRead::Running, None) => UNLIMITED_WAIT,
            (FirstRead::Running, Some(limit)) => Millis(limit.0 / WAIT_DIVISOR).min(MAX_WAIT),
        }
    }
}

/// How long a request with `remaining` time may wait for the first placer.
pub fn first_placer_wait(remaining: Millis) -> Millis {
    Millis(remaining.0 / PLACER_WAIT_DIVISOR).min(PLACER_WAIT)
}

/// The progress of a start.
#[derive(Default)]
pub(crate) struct Start {
    /// The steps that were taken, by bit.
    taken: AtomicU8,
    first_read: Mutex<FirstRead>,
    read_ended: Signal,
    returns: Mutex<ReturnTimes>,
}

impl Start {
    /// Records a step. The first time it is logged.
    pub(crate) fn record(&self, step: StartStep, now: Millis) {
        let bit = 1 << step as u8;
        if self.taken.fetch_or(bit, Ordering::Relaxed) & bit == 0 {
            let event = Event::new("start-step")
                .with("step", step.label())
                .with("after", now);
            info!("{event}");
        }
    }

    /// Records which instances are known.
    pub(crate) fn record_members(&self, gossip: &Gossip, now: Millis) {
        let placer_bit = 1 << StartStep::Placer as u8;
        if self.taken.load(Ordering::Relaxed) & placer_bit != 0 {
            return;
        }
        if gossip.identities().next().is_some() {
            self.record(StartStep::PeerHeard, now);
        }
        if gossip.collector().is_some() {
            self.record(StartStep::Collector, now);
        }
        if gossip.placer(now).is_some() {
            self.record(StartStep::Placer, now);
        }
    }

    /// Records that the first read of the store runs, or that a try has ended.
    pub(crate) fn set_first_read(&self, state: FirstRead) {
        *lock(&self.first_read) = state;
        if state == FirstRead::Idle {
            self.read_ended.notify();
        }
    }

    /// Records that the store couldn't be read, and is asked again at `next_read`.
    pub(crate) fn record_failed_read(&self, next_read: Millis) {
        lock(&self.returns).record_failed_read(next_read);
    }

    /// Records that a configuration was put in force.
    pub(crate) fn record_configured(&self, now: Millis) {
        lock(&self.returns).record_configured(now);
        self.set_first_read(FirstRead::Idle);
    }

    /// When callers should return that can't be served just after the start.
    pub(crate) fn returns(&self) -> ReturnTimes {
        *lock(&self.returns)
    }

    /// Waits for the end of the first read of the store, for as long as a request may whose caller
    /// gives it `caller_limit`.
    pub(crate) async fn wait_for_read(&self, caller_limit: Option<Millis>) {
        let ended = self.read_ended.subscribe();
        let longest = lock(&self.first_read).longest_wait(caller_limit);
        if longest > Millis::ZERO {
            let _ = timeout(longest.into(), ended).await;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
