//! The requests of one group of engines, and when those that it refuses may return.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;
use crocushold_base::RequestKey;
use slotmap::SecondaryMap;
use slotmap::SlotMap;

use super::LineRefusal;
use super::LineSettings;
use super::drain::Drain;
use super::returns::Returns;
use super::returns::Visit;
use super::shares::Shares;
use crate::request::Arrival;
use crate::scheduler::Admission;
use crate::scheduler::Scheduler;
use crate::settings::HeadroomSettings;
use crate::settings::Settings;
use crate::spec::ClassSpec;
use crate::ticket::Dispatched;
use crate::ticket::Sent;
use crate::ticket::Ticket;

/// Guaranteed share of each rank in a group, so that none starves.
const RANK_FLOOR: f64 = 0.02;

/// What a request's caller asks for, and its place.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub(super) account: u32,
    pub(super) rank: u8,
    /// Hash of what it asks.
    pub(super) request: u32,
    /// Its place among its account's requests.
    pub(super) place: u64,
    /// How long it may wait.
    pub(super) limit: Millis,
    /// Time after which its caller wouldn't return.
    pub(super) patience: Millis,
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) entry: Entry,
    pub(super) account: AccountKey,
    /// Its expected cost, in output tokens.
    pub(super) work: u64,
    pub(super) joined: Millis,
    /// The key in the ends of waits.
    pub(super) end: Millis,
    /// Less urgent requests were served when it arrived.
    pub(super) outranks: bool,
}

/// The requests that wait for the same engines.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) service: u32,
    pub(super) scheduler: Scheduler,
    pub(super) ranks: BTreeMap<u8, ClassKey>,
    /// By key rather than by slot: the scheduler may use the slot of a request that it refused before
    /// the refusal is taken from it.
    pub(super) waiters: HashMap<RequestKey, Waiter>,
    pub(super) offered: SecondaryMap<RequestKey, Ticket<Dispatched>>,
    pub(super) begun: SecondaryMap<RequestKey, Ticket<Sent>>,
    /// Ends of waits. The scheduler knows none, as it orders an account's requests by theirs first.
    pub(super) ends: BTreeSet<(Millis, RequestKey)>,
    pub(super) drain: Drain,
    pub(super) returns: Returns,
    /// What the accounts were served, by rank.
    pub(super) shares: BTreeMap<u8, Shares>,
    pub(super) retry_min: Millis,
    pub(super) max_returns: usize,
}

impl Group {
    pub(super) fn new(service: u32, settings: &LineSettings) -> Group {
        let scheduler = Settings {
            queue_limit: settings.max_waiting,
            // The bodies are held by the instances.
            queue_bytes: u64::MAX,
            // The line refuses by itself, from what begins while requests wait. The scheduler's rate
            // follows whole answers, and is right for waits of many seconds.
            wait_margin: f64::INFINITY,
            headroom: HeadroomSettings {
                max_share: 0.0,
                ..HeadroomSettings::default()
            },
            ..Settings::default()
        };
        Group {
            service,
            scheduler: Scheduler::new(scheduler),
            ranks: BTreeMap::new(),
            waiters: HashMap::new(),
            offered: SecondaryMap::new(),
            begun: SecondaryMap::new(),
            ends: BTreeSet::new(),
            drain: Drain::default(),
            returns: Returns::default(),
            shares: BTreeMap::new(),
            retry_min: settings.retry_min,
            max_returns: settings.max_returns,
        }
    }

    /// The class of a rank. Tiers are numbered by the ranks that the group has seen.
    pub(super) fn class(&mut self, rank: u8, keys: &mut SlotMap<ClassKey, ()>) -> ClassKey {
        if let Some(&class) = self.ranks.get(&rank) {
            return class;
        }
        let class = keys.insert(());
        self.ranks.insert(rank, class);
        let ranks = self.ranks.values().enumerate();
        let specs = ranks.map(|(tier, &key)| ClassSpec {
            key,
            tier: u8::try_from(tier).unwrap_or(u8::MAX),
            floor: RANK_FLOOR,
            ..ClassSpec::default()
        });
        let specs: Vec<ClassSpec> = specs.collect();
        self.scheduler.put_classes(&specs);
        class
    }

    /// Queues a request; `None` if the queue is full of others that go before it.
    pub(super) fn queue(
        &mut self,
        arrival: &Arrival,
        waiter: Waiter,
        now: Millis,
    ) -> Option<RequestKey> {
        let place = waiter.entry.place;
        let Admission::Queued(request) = self.scheduler.submit_in_order(arrival, place, now) else {
            return None;
        };
        self.ends.insert((waiter.end, request));
        self.waiters.insert(request, waiter);
        Some(request)
    }

    pub(super) fn forget(&mut self, request: RequestKey) -> Option<Waiter> {
        let waiter = self.waiters.remove(&request)?;
        self.ends.remove(&(waiter.end, request));
        Some(waiter)
    }

    /// Brings the rate at which requests begin up to date. To be called before any request is added
    /// or removed.
    pub(super) fn advance(&mut self, now: Millis) {
        self.drain.advance(!self.waiters.is_empty(), now);
    }

    /// Number of requests of this rank and of more urgent ones that wait.
    pub(super) fn ahead(&self, rank: u8) -> u32 {
        let classes = self.ranks.range(..=rank);
        let queued = classes.map(|(_, &class)| self.scheduler.queued(class));
        queued.sum()
    }

    /// Expected wait of a request of `work` tokens that joins now; zero if it isn't known.
    ///
    /// One that came back in its time goes before the later requests of its account.
    pub(super) fn expected_wait(
        &self,
        rank: u8,
        account: AccountKey,
        work: u64,
        visit: Visit,
    ) -> Millis {
        let Some(&class) = self.ranks.get(&rank) else {
            return Millis::ZERO;
        };
        let ahead = match visit {
            Visit::InTime(_) => self.scheduler.work_ahead_of_first(class, work),
            Visit::First | Visit::Early => self.scheduler.work_ahead(class, account, work),
        };
        let rate = self.drain.rate(rank);
        rate.map_or(Millis::ZERO, |rate| Millis((ahead as f64 / rate) as u64))
    }

    /// The refusal of a request that has waited.
    pub(super) fn refusal_of(&mut self, waiter: &Waiter, now: Millis) -> LineRefusal {
        let Waiter { entry, account, .. } = waiter;
        let wait = self.expected_wait(entry.rank, *account, waiter.work, Visit::First);
        self.refusal(entry, wait, now)
    }

    /// The refusal of a request that would wait for `wait`.
    pub(super) fn refusal(&mut self, entry: &Entry, wait: Millis, now: Millis) -> LineRefusal {
        let pending = self.returns.pending(entry.request, now);
        let at = pending.unwrap_or_else(|| self.reserve_return(entry, wait, now));
        let shares = self.shares.get(&entry.rank);
        LineRefusal {
            retry_after: at.since(now),
            wait,
            ahead: self.ahead(entry.rank),
            share: shares.map_or(0, |shares| shares.percent(entry.account, now)),
        }
    }

    fn reserve_return(&mut self, entry: &Entry, wait: Millis, now: Millis) -> Millis {
        let excess = wait.since(entry.limit);
        let earliest = now + excess.max(self.retry_min);
        let latest = now + entry.patience.max(self.retry_min);
        self.returns.reserve(
            entry.request,
            entry.place,
            [earliest, latest],
            self.drain.interval(),
            self.max_returns,
        )
    }
}
