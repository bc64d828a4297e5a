//! Selection of the next action: a pending refusal or a request to start.

use crocushold_base::ClassKey;
use crocushold_base::Millis;
use crocushold_base::RequestKey;

use super::Scheduler;
use crate::class::Candidate;
use crate::class::clock_ticks;
use crate::refusal::Reason;
use crate::refusal::Refused;
use crate::request::Lane;
use crate::request::Run;
use crate::request::SelectedBy;
use crate::request::Stage;
use crate::ticket::Dispatched;
use crate::ticket::Ticket;

/// Interval at which the driver asks again while the headroom holds lower tiers back, since the
/// headroom shrinks without an event.
const HEADROOM_POLL_INTERVAL: Millis = Millis(50);

/// The next action of the driver.
#[derive(Debug)]
#[must_use = "an action that is dropped leaves a caller without an answer"]
pub enum Action {
    /// Answer the request with the refusal.
    Refuse(Refused),
    /// Start the request.
    Dispatch(Ticket<Dispatched>),
}

impl Scheduler {
    /// Returns the next action, or `None` if there is nothing to do at present.
    ///
    /// `free` is the number of slots currently free on the backend servers; the caller passes one
    /// less after each dispatch. All pending refusals are returned before any dispatch: a process
    /// that was suspended first answers the requests that expired, and never starts a request after
    /// its deadline.
    ///
    /// A driver that finds no backend server for a dispatched request passes the ticket to
    /// [`requeue`](Scheduler::requeue) and stops asking until a slot is free again.
    pub fn next(&mut self, now: Millis, free: u32) -> Option<Action> {
        let now = self.advance_clock(now);
        self.process_timers(now);
        if let Some(refused) = self.pending_refusals.pop_front() {
            return Some(Action::Refuse(refused));
        }
        self.update_headroom(free, now);
        if free == 0 {
            return None;
        }
        let (class, selected_by, candidate) = self.choose(free)?;
        let ticket = self.start(class, selected_by, &candidate, now)?;
        Some(Action::Dispatch(ticket))
    }

    /// Time at which [`next`](Scheduler::next) may have an action without another event; `None` if
    /// there is no such time.
    pub fn wake_at(&self) -> Option<Millis> {
        if !self.pending_refusals.is_empty() {
            return Some(self.now);
        }
        let timer = self.timers.first().map(|timer| timer.at);
        let poll = self
            .headroom_holds_back()
            .then_some(self.now + HEADROOM_POLL_INTERVAL);
        timer.into_iter().chain(poll).min()
    }

    /// Starts a queued request out of order; `None` if it isn't queued. It is charged like any other.
    pub(crate) fn dispatch(&mut self, key: RequestKey, now: Millis) -> Option<Ticket<Dispatched>> {
        let now = self.advance_clock(now);
        let request = *self.requests.get(key)?;
        let Stage::Queued(lane) = request.stage else {
            return None;
        };
        let candidate = Candidate {
            account: request.account,
            lane,
            position: request.position,
            only_late: false,
        };
        self.start(request.class, SelectedBy::Rank, &candidate, now)
    }

    /// Returns a request to the queue for which no backend server was available. It keeps its
    /// position, and the charges to its account, class and floor are undone. Several requests are
    /// returned in the reverse order of their dispatch.
    pub fn requeue(&mut self, ticket: Ticket<Dispatched>, now: Millis) {
        let now = self.advance_clock(now);
        let key = ticket.into_key();
        let Some(run) = self.release_slot(key) else {
            return;
        };
        let Some(request) = self.requests.get(key).copied() else {
            return;
        };
        let late = request.position.latest_start <= now;
        let lane = if late { Lane::Late } else { Lane::OnTime };
        self.undo_charge(&request, &run, now);
        self.free += 1;
        let class_known = self.classes.contains_key(request.class);
        let account_known = self.accounts.contains_key(request.account);
        if class_known && account_known {
            self.return_queued(key, lane, run.mark);
            return;
        }
        let reason = if class_known {
            Reason::UnknownAccount
        } else {
            Reason::UnknownClass
        };
        self.requests.remove(key);
        let refusal = self.refusal(reason, Millis::ZERO);
        self.pending_refusals.push_back(Refused { key, refusal });
    }

    fn update_headroom(&mut self, free: u32, now: Millis) {
        self.free = free;
        let slots = self.slots();
        let absorbed = self
            .throughput
            .expected_releases(slots, self.headroom.window());
        self.headroom.update(slots, absorbed, now);
    }

    /// Whether lower tiers are held back only by the headroom, although slots are free.
    fn headroom_holds_back(&self) -> bool {
        let lower = self
            .class_indexes
            .dispatch
            .first()
            .is_some_and(|head| head.tier > 0);
        lower && self.free > 0 && self.free <= self.headroom.reserved()
    }

    /// Chooses a class and a request to start. Queues of accounts found at their concurrency limit
    /// are removed from the dispatch order.
    fn choose(&mut self, free: u32) -> Option<(ClassKey, SelectedBy, Candidate)> {
        loop {
            let (key, selected_by) = self.choose_class(free)?;
            let class = self.classes.get_mut(key)?;
            let candidate = class.candidate()?;
            let account = self.accounts.get_mut(candidate.account)?;
            if !account.at_limit() {
                return Some((key, selected_by, candidate));
            }
            account.block(key);
            class.set_blocked(candidate.account, true);
            self.class_indexes.refresh(key, class);
        }
    }

    /// Chooses the class to serve; a floor that is due goes first. A floor becomes due only after
    /// other classes received the rest of the tokens, so it never takes more than its share from a
    /// higher-priority tier.
    fn choose_class(&self, free: u32) -> Option<(ClassKey, SelectedBy)> {
        let head = self.class_indexes.dispatch.first()?;
        let held_back = head.tier > 0 && free <= self.headroom.reserved();
        let due = self
            .class_indexes
            .floors
            .first()
            .filter(|floor| floor.at <= self.class_indexes.token_clock);
        if let Some(floor) = due
            && (floor.class != head.class || held_back)
        {
            return Some((floor.class, SelectedBy::Floor));
        }
        (!held_back).then_some((head.class, SelectedBy::Rank))
    }

    fn start(
        &mut self,
        key: ClassKey,
        selected_by: SelectedBy,
        candidate: &Candidate,
        now: Millis,
    ) -> Option<Ticket<Dispatched>> {
        let position = candidate.position;
        let request = *self.requests.get(position.key)?;
        let mark = self.classes.get_mut(key)?.record_start(candidate);
        self.remove_queued(&request, candidate.lane);
        self.class_indexes.token_clock += clock_ticks(position.charge);
        let class = self.classes.get_mut(key)?;
        class.charge(candidate.account, position.charge);
        class.drop_idle_flows();
        class.charge_floor(selected_by, position.charge, self.class_indexes.token_clock);
        self.class_indexes.refresh(key, class);
        let tier = class.spec.tier_index();
        self.throughput
            .dispatched(tier, position.charge as f64, now);
        self.accounts.get_mut(candidate.account)?.running += 1;
        self.running += 1;
        self.free = self.free.saturating_sub(1);
        self.requests.get_mut(position.key)?.stage = Stage::Running(Run {
            started: now,
            charged: position.charge,
            first_token_seen: false,
            pauses_at_start: self.pauses,
            selected_by,
            mark,
        });
        Some(Ticket::new(
            position.key,
            key,
            candidate.account,
            position.charge,
        ))
    }
}
