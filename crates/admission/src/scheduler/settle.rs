//! Progress and end of started requests.

use crocushold_base::Millis;
use crocushold_base::RequestKey;

use super::Scheduler;
use crate::class::clock_span;
use crate::class::floor_span;
use crate::histogram::DecayingHistogram;
use crate::request::Request;
use crate::request::Run;
use crate::request::Stage;
use crate::request::Turn;
use crate::ticket::Sent;
use crate::ticket::Ticket;

/// Tokens by which an output that outruns its estimate is charged in advance, so that a long
/// stream updates the order every so many tokens and not at each.
const CHARGE_STEP: u64 = 64;

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Output tokens that were generated, as far as known.
    pub output: u32,
    /// The answer is whole. A cut answer is charged but teaches nothing about lengths.
    pub complete: bool,
}

/// What a finished request cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Cost charged until the end, in output tokens.
    pub charged: u64,
    /// Real cost, in output tokens.
    pub used: u64,
    /// Time that it held its slot.
    pub service_time: Millis,
    /// Time from arrival to start.
    pub queue_time: Millis,
}

/// What a cancellation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The request was queued; it did not run.
    Queued,
    /// The request was started; its slot is free again.
    Running,
}

impl Scheduler {
    /// Takes note of the output tokens received so far.
    ///
    /// The first call tells the time to first token. Output beyond the estimate is charged as it
    /// comes, so that an account whose answers turn out long falls back in order while they run.
    pub fn progress(&mut self, ticket: &Ticket<Sent>, output: u32, now: Millis) {
        let now = self.observe(now);
        let pauses = self.pauses;
        let Some(request) = self.requests.get_mut(ticket.key()) else {
            return;
        };
        let Stage::Running(run) = &mut request.stage else {
            return;
        };
        let first = !run.answered && run.pauses == pauses;
        let since = run.since;
        run.answered = true;
        let request = *request;
        if first && let Some(class) = self.classes.get_mut(request.class) {
            class.starts.record(clamp(now.since(since).0));
        }
        self.charge_excess(&request, output);
    }

    /// Ends a started request and settles its cost; `None` if it was cancelled before.
    pub fn finish(
        &mut self,
        ticket: Ticket<Sent>,
        completion: Completion,
        now: Millis,
    ) -> Option<Settlement> {
        let now = self.observe(now);
        let key = ticket.redeem();
        let run = self.end_run(key)?;
        let request = self.requests.remove(key)?;
        if completion.complete {
            self.learn(&request, &run, completion.output, now);
        }
        Some(self.settle(&request, &run, completion.output, now))
    }

    /// Ends a request at any point, with the output tokens generated so far; `None` if it has
    /// ended before.
    ///
    /// A driver that cancels a started request also stops the backend server's work.
    pub fn cancel(&mut self, key: RequestKey, output: u32, now: Millis) -> Option<Cancelled> {
        let now = self.observe(now);
        let request = *self.requests.get(key)?;
        match request.stage {
            Stage::Queued(lane) => {
                self.remove_queued(&request, lane);
                self.requests.remove(key);
                self.give_back(&request);
                Some(Cancelled::Queued)
            }
            Stage::Running(run) => {
                self.end_run(key);
                self.requests.remove(key);
                self.settle(&request, &run, output, now);
                Some(Cancelled::Running)
            }
        }
    }

    /// Frees the slot of a started request, which stays held.
    pub(super) fn end_run(&mut self, key: RequestKey) -> Option<Run> {
        let request = self.requests.get(key)?;
        let Stage::Running(run) = request.stage else {
            return None;
        };
        let account = request.account;
        self.running -= 1;
        if let Some(state) = self.accounts.get_mut(account) {
            state.running = state.running.saturating_sub(1);
        }
        self.unblock(account);
        Some(run)
    }

    /// Takes back all that a start charged.
    pub(super) fn undo_charge(&mut self, request: &Request, run: &Run, now: Millis) {
        self.correct(request, run, 0);
        let tier = self.tier(request.class);
        let tokens = run.charged as f64;
        self.pace.dispatched(tier, -tokens, now);
    }

    fn charge_excess(&mut self, request: &Request, output: u32) {
        let Stage::Running(run) = request.stage else {
            return;
        };
        let used = self.cost(request.prompt, output);
        if used <= run.charged {
            return;
        }
        self.correct(request, &run, used + CHARGE_STEP);
        if let Some(held) = self.requests.get_mut(request.place.key) {
            held.stage = Stage::Running(Run {
                charged: used + CHARGE_STEP,
                ..run
            });
        }
    }

    fn settle(&mut self, request: &Request, run: &Run, output: u32, now: Millis) -> Settlement {
        let used = self.cost(request.prompt, output);
        self.correct(request, run, used);
        if let Some(account) = self.accounts.get_mut(request.account) {
            let real = u64::from(request.prompt) + u64::from(output);
            account.settle(request.billed, real);
        }
        Settlement {
            charged: run.charged,
            used,
            service_time: now.since(run.since),
            queue_time: run.since.since(request.arrived),
        }
    }

    /// Replaces what a run was charged by `used`: in the account's counter, on the clock of the
    /// floors and, if the run was started by the floor, against the floor of its class.
    fn correct(&mut self, request: &Request, run: &Run, used: u64) {
        let clock = &mut self.orders.clock;
        *clock = (*clock + clock_span(used)).saturating_sub(clock_span(run.charged));
        let Some(class) = self.classes.get_mut(request.class) else {
            return;
        };
        let floor = class.spec.floor;
        if used <= run.charged {
            class.refund(request.account, run.charged - used);
        } else if let Some(account) = self.accounts.get(request.account) {
            // The flow may be forgotten by now; a debt must outlive that.
            class.ensure(request.account, account.spec.weight);
            class.charge(request.account, used - run.charged);
        }
        if run.turn == Turn::Floor && floor > 0.0 {
            let clock = class.floor_clock + floor_span(used, floor);
            class.floor_clock = clock.saturating_sub(floor_span(run.charged, floor));
        }
        self.orders.refresh(request.class, class);
    }

    fn learn(&mut self, request: &Request, run: &Run, output: u32, now: Millis) {
        if run.pauses == self.pauses {
            // In estimated tokens, because the queue is counted in these too: an estimate that is
            // too high on the whole then cancels out of the predicted wait.
            self.pace
                .finished(request.place.charge, now.since(run.since));
        }
        if let Some(account) = self.accounts.get_mut(request.account) {
            account.learn(request.expected, output);
        }
        let Some(class) = self.classes.get_mut(request.class) else {
            return;
        };
        class.outputs.record(output);
        let Some(model) = request.model else {
            return;
        };
        let quantile = self.settings.output_quantile;
        if !class.models.contains_key(model) {
            class.models.insert(model, DecayingHistogram::new(quantile));
        }
        if let Some(lengths) = class.models.get_mut(model) {
            lengths.record(output);
        }
    }
}

fn clamp(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
