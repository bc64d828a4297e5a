//! Progress and completion of running requests.

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

/// Tokens charged in advance when the output exceeds its estimate, so that a long stream updates
/// the indexes once per step instead of at every token.
const CHARGE_STEP: u64 = 64;

/// How a running request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Output tokens generated, as far as known.
    pub output: u32,
    /// Whether the answer is complete. An incomplete answer is charged but not used to learn output
    /// lengths.
    pub complete: bool,
}

/// Cost and times of a finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Cost charged until the request ended, in output tokens.
    pub charged: u64,
    /// Actual cost, in output tokens.
    pub used: u64,
    /// Time for which the request occupied its slot.
    pub service_time: Millis,
    /// Time from arrival to start.
    pub queue_time: Millis,
}

/// State of a request when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The request was queued and did not run.
    Queued,
    /// The request was running; its slot is free again.
    Running,
}

impl Scheduler {
    /// Records the output tokens received so far.
    ///
    /// The first call gives the time to first token. Output beyond the estimate is charged as it
    /// arrives, so that an account with unexpectedly long answers loses precedence while they are
    /// still running.
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

    /// Ends a running request and settles its cost; `None` if it was cancelled before.
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

    /// Cancels a queued or running request; `output` is the number of output tokens generated so
    /// far. `None` if it has already ended.
    ///
    /// A driver that cancels a running request must also stop the work on the backend server.
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

    /// Frees the slot of a running request; the request remains stored.
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

    /// Undoes all charges made when the request was started.
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

    /// Replaces the cost charged for a run by `used`: in the account's counter, in the token clock
    /// and, if the run was selected by the floor, in the floor clock of its class.
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
            // The flow may have been dropped meanwhile; create it again so that the debt is kept.
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
            // Estimated tokens rather than actual ones: the queue is counted in estimates too, so a
            // systematic error of the estimates cancels out of the predicted wait.
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
