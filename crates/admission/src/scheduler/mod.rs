//! The scheduler of one service on one entry instance.

mod configure;
mod dispatch;
mod estimate;
mod queue;
mod report;
mod settle;
mod submit;

use std::collections::BTreeSet;
use std::collections::VecDeque;

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;
use crocushold_base::RequestKey;
use slotmap::SecondaryMap;
use slotmap::SlotMap;

use crate::account::Account;
use crate::class::Class;
use crate::class_index::ClassIndexes;
use crate::headroom::Headroom;
use crate::refusal::Refused;
use crate::request::Request;
use crate::settings::Settings;
use crate::spec::MAX_TIERS;
use crate::throughput::Throughput;

pub use dispatch::Action;
pub use settle::Cancelled;
pub use settle::Completion;
pub use settle::Settlement;
pub use submit::Admission;

/// Admission control, scheduling and limits of one service on one entry instance.
///
/// A pure state machine: each call takes the current time as an argument, and the same sequence of
/// calls gives the same results. Time may jump forwards by any amount; if it steps back, the last
/// time is used.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    classes: SecondaryMap<ClassKey, Class>,
    accounts: SecondaryMap<AccountKey, Account>,
    requests: SlotMap<RequestKey, Request>,
    timers: BTreeSet<Timer>,
    class_indexes: ClassIndexes,
    throughput: Throughput,
    headroom: Headroom,
    /// Refusals to be returned by `next`, in order.
    pending_refusals: VecDeque<Refused>,
    queued: u32,
    bytes: [u64; MAX_TIERS],
    running: u32,
    /// Queue entries reserved for classes and not in use.
    unused_reserve: u32,
    /// Free slots at the last call of `next`, less the requests started since.
    free: u32,
    seq: u64,
    jitter_draws: u64,
    now: Millis,
    /// Number of pauses detected between events.
    pauses: u32,
}

/// Time at which a queued request becomes late or expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Millis,
    key: RequestKey,
}

impl Scheduler {
    /// A scheduler without classes and accounts; see [`Scheduler::configure`].
    pub fn new(settings: Settings) -> Scheduler {
        let headroom = Headroom::new(settings.headroom.clone());
        Scheduler {
            settings,
            classes: SecondaryMap::new(),
            accounts: SecondaryMap::new(),
            requests: SlotMap::with_key(),
            timers: BTreeSet::new(),
            class_indexes: ClassIndexes::default(),
            throughput: Throughput::new(),
            headroom,
            pending_refusals: VecDeque::new(),
            queued: 0,
            bytes: [0; MAX_TIERS],
            running: 0,
            unused_reserve: 0,
            free: 0,
            seq: 0,
            jitter_draws: 0,
            now: Millis::ZERO,
            pauses: 0,
        }
    }

    /// Advances the clock to the time of an event and counts pauses.
    ///
    /// A process that was suspended sees its requests end long after they did, so durations that
    /// span a pause are not learned from. Otherwise one suspension would make the service appear
    /// slow, and requests would be refused that could meet their target.
    fn advance_clock(&mut self, now: Millis) -> Millis {
        if now.since(self.now) > self.settings.pause_threshold {
            self.pauses = self.pauses.wrapping_add(1);
        }
        self.now = self.now.max(now);
        self.now
    }

    fn slots(&self) -> u32 {
        self.running + self.free
    }
}
