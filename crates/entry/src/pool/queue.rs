//! Requests in a pool's queue and their results.

use std::net::SocketAddr;

use crocushold_admission::Dispatched;
use crocushold_admission::Ticket;
use crocushold_base::ModelKey;
use crocushold_base::RequestKey;
use crocushold_base::ServerKey;
use crocushold_routing::Decision;
use crocushold_routing::Demand;
use crocushold_routing::Pick;
use crocushold_routing::Reason;
use crocushold_routing::Rest;
use futures::channel::oneshot;

use crate::refusal::Refusal;

/// The result of queuing a request.
#[derive(Debug)]
pub(crate) enum QueueResult {
    /// It may be sent to the chosen server.
    Dispatched(Dispatch),
    /// It won't run.
    Refused(Refusal),
}

/// Permission to send a request to a server.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) ticket: Ticket<Dispatched>,
    pub(crate) pick: Pick,
    pub(crate) address: SocketAddr,
}

/// What a request requires of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Requirements {
    pub(crate) model: Option<ModelKey>,
    pub(crate) prefix: Option<u64>,
    pub(crate) tier: u8,
    pub(crate) idempotent: bool,
    pub(crate) tokens: u32,
}

impl Requirements {
    pub(super) fn demand<'a>(&self, exclude: &'a [ServerKey], resting: &'a [Rest]) -> Demand<'a> {
        Demand {
            model: self.model,
            prefix: self.prefix,
            priority: self.tier,
            idempotent: self.idempotent,
            tokens: self.tokens,
            exclude,
            resting,
            ..Demand::default()
        }
    }
}

/// A request for which no server is available yet.
pub(super) struct Deferred {
    pub(super) ticket: Ticket<Dispatched>,
    pub(super) reason: Reason,
    pub(super) model: Option<ModelKey>,
}

/// The pool's entry for a queued request.
pub(super) struct QueueEntry {
    pub(super) queue_result: oneshot::Sender<QueueResult>,
    pub(super) requirements: Requirements,
    /// Servers at which an attempt of the request failed.
    pub(super) tried: Vec<ServerKey>,
}

/// Why a request isn't sent again immediately.
#[derive(Debug)]
pub(crate) enum NoRetry {
    /// It may be sent to a server that was not tried and has no free slot.
    Busy(Decision),
    /// It is refused.
    Final(Decision),
}

impl NoRetry {
    /// The decision for a caller that doesn't wait.
    pub(crate) fn decision(self) -> Decision {
        match self {
            NoRetry::Busy(decision) | NoRetry::Final(decision) => decision,
        }
    }
}

/// An admitted request that is waiting in the queue.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) key: RequestKey,
    pub(crate) queue_result: oneshot::Receiver<QueueResult>,
}
