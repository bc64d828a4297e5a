//! Connections that wait for their callers to send, or to read.
//!
//! A wait may last as long as a timeout that suits the slowest proper caller. Until then an unfinished request keeps its
//! connection, and the memory that is reserved for it. When either runs short, the waits that are furthest behind are
//! ended, so that callers who go on aren't refused because of callers who don't.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_std::task;
use crocushold_base::Clock;
use crocushold_base::MemoryBudget;
use crocushold_base::Millis;
use crocushold_base::Reservation;
use futures::future::AbortHandle;
use futures::future::AbortRegistration;
use futures::future::Abortable;
use slotmap::SlotMap;
use slotmap::new_key_type;

use super::limits::WaitLimits;

#[cfg(test)]
mod tests;

/// Maximum number of open connections that are about to close to make room for others.
const MAX_LEAVING: usize = 64;

/// Pause between two attempts to reserve memory that ended waits are about to free, and their number.
const RESERVE_PAUSE: Millis = Millis(2);
const RESERVE_ATTEMPTS: u32 = 100;

/// Attempts after which further waits end.
const FREE_ATTEMPTS: u32 = 20;

new_key_type! {
    struct WaitKey;
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitKind {
    /// The first byte of a request.
    Idle,
    /// The end of a head.
    Head,
    /// The end of a body.
    Body,
    /// Room for more of an answer, while its caller doesn't read.
    Answer,
}

/// Numbers of waits that were ended early, by what the connection waited for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndedWaits {
    /// Connections without a request.
    pub idle: u64,
    /// Unfinished heads.
    pub head: u64,
    /// Unfinished bodies.
    pub body: u64,
    /// Answers that weren't read.
    pub answer: u64,
}

impl EndedWaits {
    /// The numbers since `earlier` ones.
    pub fn since(self, earlier: EndedWaits) -> EndedWaits {
        EndedWaits {
            idle: self.idle - earlier.idle,
            head: self.head - earlier.head,
            body: self.body - earlier.body,
            answer: self.answer - earlier.answer,
        }
    }

    /// The numbers with their labels for logs and metrics.
    pub fn by_label(self) -> [(&'static str, u64); 4] {
        [
            ("idle", self.idle),
            ("head", self.head),
            ("body", self.body),
            ("answer", self.answer),
        ]
    }
}

#[derive(Debug)]
struct Wait {
    kind: WaitKind,
    /// When the caller falls behind, unless it sends more.
    due: Millis,
    /// Memory that the end of the wait frees, in bytes.
    reserved: u64,
    abort: AbortHandle,
    /// Whether the connection is to make room for another one.
    leaving: Arc<AtomicBool>,
}

#[derive(Debug, Default)]
struct State {
    waits: SlotMap<WaitKey, Wait>,
    ended: EndedWaits,
}

impl State {
    /// The waits that are behind at `now`, and since when.
    fn behind(&self, now: Millis) -> impl Iterator<Item = (Millis, WaitKey)> {
        let waits = self.waits.iter();
        let behind = waits.filter(move |(_, wait)| wait.due < now);
        behind.map(|(key, wait)| (wait.due, key))
    }

    fn end(&mut self, key: WaitKey) -> Option<Wait> {
        let wait = self.waits.remove(key)?;
        match wait.kind {
            WaitKind::Idle => self.ended.idle += 1,
            WaitKind::Head => self.ended.head += 1,
            WaitKind::Body => self.ended.body += 1,
            WaitKind::Answer => self.ended.answer += 1,
        }
        wait.abort.abort();
        Some(wait)
    }
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
    /// Number of open connections that are about to close to make room for others.
    leaving: AtomicUsize,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

/// The waits of all connections of a listener. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Waits {
    shared: Arc<Shared>,
}

impl Default for Waits {
    fn default() -> Waits {
        Waits {
            shared: Arc::new(Shared {
                clock: Clock::start(),
                state: Mutex::default(),
                leaving: AtomicUsize::new(0),
            }),
        }
    }
}

impl Waits {
    /// Adds a connection.
    pub(crate) fn open(&self) -> Arc<Seat> {
        Arc::new(Seat {
            waits: self.clone(),
            leaving: Arc::default(),
        })
    }

    /// Ends the wait that is furthest behind, so that its connection makes room for another one. Returns whether
    /// there is one.
    pub(crate) fn make_room(&self) -> bool {
        if self.leaving() >= MAX_LEAVING {
            return false;
        }
        let now = self.shared.clock.now();
        let mut state = self.shared.state();
        let furthest = state.behind(now).min().map(|(_, key)| key);
        let Some(wait) = furthest.and_then(|key| state.end(key)) else {
            return false;
        };
        if !wait.leaving.swap(true, Ordering::Relaxed) {
            self.shared.leaving.fetch_add(1, Ordering::Relaxed);
        }
        true
    }

    /// Number of open connections that are about to close to make room for others.
    pub(crate) fn leaving(&self) -> usize {
        self.shared.leaving.load(Ordering::Relaxed)
    }

    /// Numbers of waits that were ended early so far.
    pub(crate) fn ended(&self) -> EndedWaits {
        self.shared.state().ended
    }

    /// Ends the waits that are furthest behind and hold memory, until `bytes` are freed. Ends none, and returns `false`, if
    /// those that are behind hold less.
    fn free(&self, bytes: u64) -> bool {
        let now = self.shared.clock.now();
        let mut state = self.shared.state();
        let mut behind: Vec<(Millis, WaitKey)> = state.behind(now).collect();
        behind.sort_unstable();
        let mut chosen = Vec::new();
        let mut freed = 0;
        for (_, key) in behind {
            let reserved = state.waits[key].reserved;
            if freed < bytes && reserved > 0 {
                freed += reserved;
                chosen.push(key);
            }
        }
        if freed < bytes {
            return false;
        }
        for key in chosen {
            state.end(key);
        }
        true
    }

    /// Reserves `bytes` of `budget`. If too few are free, waits that are behind and hold memory end.
    async fn reserve(&self, budget: &MemoryBudget, bytes: u64) -> Option<Reservation> {
        let reservation = budget.reserve(bytes);
        if reservation.is_some() || !self.free(bytes) {
            return reservation;
        }
        for attempt in 1..=RESERVE_ATTEMPTS {
            // The memory is free once the tasks of the ended waits have run.
            task::sleep(RESERVE_PAUSE.into()).await;
            let reservation = budget.reserve(bytes);
            if reservation.is_some() {
                return reservation;
            }
            // What ended may have held memory of another budget, or was reserved by another request.
            if attempt % FREE_ATTEMPTS == 0 {
                self.free(bytes);
            }
        }
        None
    }
}

/// A connection among those that share their waits.
#[derive(Debug)]
pub(crate) struct Seat {
    waits: Waits,
    leaving: Arc<AtomicBool>,
}

impl Seat {
    /// Begins a wait. What waits is to be made abortable with the registration.
    pub(crate) fn begin(
        &self,
        kind: WaitKind,
        limits: &WaitLimits,
    ) -> (WaitGuard, AbortRegistration) {
        let (abort, registration) = AbortHandle::new_pair();
        let shared = self.waits.shared.clone();
        let counts = kind != WaitKind::Answer;
        let due = shared.clock.now() + limits.patience;
        let key = shared.state().waits.insert(Wait {
            kind,
            due: if counts { due } else { Millis::MAX },
            reserved: 0,
            abort,
            leaving: self.leaving.clone(),
        });
        let guard = WaitGuard {
            waits: self.waits.clone(),
            key,
            limits: *limits,
            counts,
            moved: 0,
        };
        (guard, registration)
    }

    /// Waits for `awaited`; `None` if the wait was ended early.
    pub(crate) async fn wait<T>(
        &self,
        kind: WaitKind,
        limits: &WaitLimits,
        awaited: impl Future<Output = T>,
    ) -> Option<T> {
        let (_wait, registration) = self.begin(kind, limits);
        Abortable::new(awaited, registration).await.ok()
    }

    /// As [`Waits::reserve`].
    pub(crate) async fn reserve(&self, budget: &MemoryBudget, bytes: u64) -> Option<Reservation> {
        self.waits.reserve(budget, bytes).await
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        if self.leaving.load(Ordering::Relaxed) {
            self.waits.shared.leaving.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// A wait, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct WaitGuard {
    waits: Waits,
    key: WaitKey,
    limits: WaitLimits,
    /// Whether the caller is waited for at this moment.
    counts: bool,
    /// Bytes that don't count towards the due time yet.
    moved: u64,
}

impl WaitGuard {
    /// Records that the caller has sent or read `bytes`. They put off the time at which it is behind.
    pub(crate) fn record(&mut self, bytes: usize) {
        if !self.counts {
            return;
        }
        self.moved += bytes as u64;
        let bought = self.moved * 1000 / self.limits.min_rate.max(1);
        if bought == 0 {
            return;
        }
        self.moved = 0;
        let now = self.waits.shared.clock.now();
        let latest = now + self.limits.patience;
        self.update(|wait| wait.due = (wait.due.max(now) + Millis(bought)).min(latest));
    }

    /// Records that the caller is waited for, unless it was before.
    pub(crate) fn resume(&mut self) {
        if !self.counts {
            self.counts = true;
            let due = self.waits.shared.clock.now() + self.limits.patience;
            self.update(|wait| wait.due = due);
        }
    }

    /// Records that the caller isn't waited for at this moment.
    pub(crate) fn pause(&mut self) {
        if self.counts {
            self.counts = false;
            self.update(|wait| wait.due = Millis::MAX);
        }
    }

    /// As [`Waits::reserve`].
    pub(crate) async fn reserve(&self, budget: &MemoryBudget, bytes: u64) -> Option<Reservation> {
        self.waits.reserve(budget, bytes).await
    }

    /// Sets how much memory the end of the wait would free.
    pub(crate) fn set_reserved(&self, bytes: u64) {
        self.update(|wait| wait.reserved = bytes);
    }

    /// Adds to the memory that the end of the wait would free.
    pub(crate) fn add_reserved(&self, bytes: u64) {
        self.update(|wait| wait.reserved += bytes);
    }

    /// Changes the wait unless it was ended.
    fn update(&self, change: impl FnOnce(&mut Wait)) {
        if let Some(wait) = self.waits.shared.state().waits.get_mut(self.key) {
            change(wait);
        }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.waits.shared.state().waits.remove(self.key);
    }
}
