//! Progress and end of started requests.

use crocushold_base::Millis;
use crocushold_base::RequestKey;

use super::Scheduler;
use crate::class::clock_ticks;
use crate::class::floor_ticks;
use crate::histogram::DecayingHistogram;
use crate::request::Request;
use crate::request::Run;
use crate::request::SelectedBy;
use crate::request::Stage;
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
        let now = self.advance_clock(now);
        let pauses = self.pauses;
        let Some(request) = self.requests.get_mut(ticket.key()) else {
            return;
        };
        let Stage::Running(run) = &mut request.stage else {
            return;
        };
        let first = !run.first_token_seen && run.pauses_at_start == pauses;
        let started = run.started;
        run.first_token_seen = true;
        let request = *request;
        if first && let Some(class) = self.classes.get_mut(request.class) {
            class
                .first_token_times
                .record(saturating_u32(now.since(started).0));
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
        let now = self.advance_clock(now);
        let key = ticket.into_key();
        let run = self.release_slot(key)?;
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
        let now = self.advance_clock(now);
        let request = *self.requests.get(key)?;
        match request.stage {
            Stage::Queued(lane) => {
                self.remove_queued(&request, lane);
                self.requests.remove(key);
                self.refund_limits(&request);
                Some(Cancelled::Queued)
            }
            Stage::Running(run) => {
                self.release_slot(key);
                self.requests.remove(key);
                self.settle(&request, &run, output, now);
                Some(Cancelled::Running)
            }
        }
    }

    /// Frees the slot of a started request, which stays held.
    pub(super) fn release_slot(&mut self, key: RequestKey) -> Option<Run> {
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
        self.adjust_charge(request, run, 0);
        let tier = self.tier(request.class);
        let tokens = run.charged as f64;
        self.throughput.dispatched(tier, -tokens, now);
    }

    fn charge_excess(&mut self, request: &Request, output: u32) {
        let Stage::Running(run) = request.stage else {
            return;
        };
        let used = self.cost(request.prompt_tokens, output);
        if used <= run.charged {
            return;
        }
        self.adjust_charge(request, &run, used + CHARGE_STEP);
        if let Some(stored) = self.requests.get_mut(request.position.key) {
            stored.stage = Stage::Running(Run {
                charged: used + CHARGE_STEP,
                ..run
            });
        }
    }

    fn settle(&mut self, request: &Request, run: &Run, output: u32, now: Millis) -> Settlement {
        let used = self.cost(request.prompt_tokens, output);
        self.adjust_charge(request, run, used);
        if let Some(account) = self.accounts.get_mut(request.account) {
            let real = u64::from(request.prompt_tokens) + u64::from(output);
            account.settle(request.billed_tokens, real);
        }
        Settlement {
            charged: run.charged,
            used,
            service_time: now.since(run.started),
            queue_time: run.started.since(request.arrived),
        }
    }

    /// Replaces what a run was charged by `used`: in the account's counter, on the clock of the
    /// floors and, if the run was started by the floor, against the floor of its class.
    fn adjust_charge(&mut self, request: &Request, run: &Run, used: u64) {
        let clock = &mut self.class_indexes.token_clock;
        *clock = (*clock + clock_ticks(used)).saturating_sub(clock_ticks(run.charged));
        let Some(class) = self.classes.get_mut(request.class) else {
            return;
        };
        let floor = class.spec.floor;
        if used <= run.charged {
            class.refund(request.account, run.charged - used);
        } else if let Some(account) = self.accounts.get(request.account) {
            // The flow may be forgotten by now; a debt must outlive that.
            class.ensure_flow(request.account, account.spec.weight);
            class.charge(request.account, used - run.charged);
        }
        if run.selected_by == SelectedBy::Floor && floor > 0.0 {
            let clock = class.floor_clock + floor_ticks(used, floor);
            class.floor_clock = clock.saturating_sub(floor_ticks(run.charged, floor));
        }
        self.class_indexes.refresh(request.class, class);
    }

    fn learn(&mut self, request: &Request, run: &Run, output: u32, now: Millis) {
        if run.pauses_at_start == self.pauses {
            // In estimated tokens, because the queue is counted in these too: an estimate that is
            // too high on the whole then cancels out of the predicted wait.
            self.throughput
                .finished(request.position.charge, now.since(run.started));
        }
        if let Some(account) = self.accounts.get_mut(request.account) {
            account.learn(request.expected_output, output);
        }
        let Some(class) = self.classes.get_mut(request.class) else {
            return;
        };
        class.output_lengths.record(output);
        let Some(model) = request.model else {
            return;
        };
        let quantile = self.settings.output_quantile;
        if !class.model_output_lengths.contains_key(model) {
            class
                .model_output_lengths
                .insert(model, DecayingHistogram::new(quantile));
        }
        if let Some(lengths) = class.model_output_lengths.get_mut(model) {
            lengths.record(output);
        }
    }
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
