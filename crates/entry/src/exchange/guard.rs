//! Guards that release what a request holds, also when its future is dropped.

use std::sync::Arc;

use crocushold_admission::Sent;
use crocushold_admission::Ticket;
use crocushold_ownership as ownership;
use crocushold_ownership::Started;
use crocushold_routing::Outcome;
use crocushold_routing::Pick;
use futures::channel::oneshot;
use http_types::StatusCode;

use crate::coordination::Coordinator;
use crate::pool::Pool;
use crate::pool::QueueResult;
use crate::pool::QueuedRequest;

/// Removes a request from the queue when its caller disconnects.
pub(super) struct QueueGuard<'a> {
    pub(super) pool: &'a Pool,
    pub(super) queued: Option<QueuedRequest>,
}

impl QueueGuard<'_> {
    pub(super) fn queue_result(&mut self) -> &mut oneshot::Receiver<QueueResult> {
        let queued = self.queued.as_mut();
        &mut queued
            .expect("a guard that is not disarmed has a request")
            .queue_result
    }

    pub(super) fn disarm(mut self) {
        self.queued = None;
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(queued) = self.queued.take() {
            self.pool.withdraw(queued);
        }
    }
}

/// Releases the scheduler's slot when a request ends without a response.
pub(super) struct TicketGuard<'a> {
    pub(super) pool: &'a Pool,
    pub(super) ticket: Option<Ticket<Sent>>,
}

impl TicketGuard<'_> {
    pub(super) fn take(&mut self) -> Ticket<Sent> {
        self.ticket
            .take()
            .expect("the ticket is taken only when the request leaves the server")
    }
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = &self.ticket {
            self.pool.cancel(ticket.key());
        }
    }
}

/// A granted claim whose request may be sent. If it is dropped without an outcome, because the
/// caller disconnected or no response arrived, the request is recorded as one that may have run.
pub(super) struct ClaimGuard<'a> {
    pub(super) coordinator: &'a Arc<Coordinator>,
    pub(super) started: Option<Started>,
}

impl ClaimGuard<'_> {
    pub(super) fn completed(self, status: StatusCode) {
        let status = status.into();
        self.settle(ownership::Outcome::Completed { status });
    }

    pub(super) fn not_run(self) {
        self.settle(ownership::Outcome::NotRun);
    }

    pub(super) fn settle(mut self, outcome: ownership::Outcome) {
        if let Some(started) = self.started.take() {
            self.coordinator.settle(started.settle(outcome));
        }
    }
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        if let Some(started) = self.started.take() {
            let settlement = started.settle(ownership::Outcome::Unknown);
            self.coordinator.settle(settlement);
        }
    }
}

/// Releases the router's slot when an attempt is dropped before its response.
pub(super) struct AttemptGuard<'a> {
    pub(super) pool: &'a Pool,
    pub(super) pick: Option<Pick>,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if let Some(pick) = self.pick {
            self.pool.end_attempt(pick.attempt, Outcome::Cancelled, 0);
        }
    }
}
