//! What a request and its pool tell each other.

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
use futures::channel::oneshot;

use crate::refusal::Refusal;

/// What a waiting request is told.
#[derive(Debug)]
pub(crate) enum QueueResult {
    /// It may be sent to the server that was picked.
    Dispatched(Dispatch),
    /// It won't run.
    Refused(Refusal),
}

/// The right to send a request, and where to.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) ticket: Ticket<Dispatched>,
    pub(crate) pick: Pick,
    pub(crate) address: SocketAddr,
}

/// What a request needs of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Requirements {
    pub(crate) model: Option<ModelKey>,
    pub(crate) prefix: Option<u64>,
    pub(crate) tier: u8,
    pub(crate) idempotent: bool,
    pub(crate) tokens: u32,
}

impl Requirements {
    pub(super) fn demand<'a>(&self, exclude: &'a [ServerKey]) -> Demand<'a> {
        Demand {
            model: self.model,
            prefix: self.prefix,
            priority: self.tier,
            idempotent: self.idempotent,
            tokens: self.tokens,
            exclude,
            ..Demand::default()
        }
    }
}

/// A dispatched request for which no server could be had.
pub(super) struct Deferred {
    pub(super) ticket: Ticket<Dispatched>,
    pub(super) reason: Reason,
    pub(super) model: Option<ModelKey>,
}

/// The queue's end of a waiting request.
pub(super) struct QueueEntry {
    pub(super) queue_result: oneshot::Sender<QueueResult>,
    pub(super) requirements: Requirements,
    /// Servers at which it failed already.
    pub(super) tried: Vec<ServerKey>,
}

/// Why a request isn't sent again at once.
#[derive(Debug)]
pub(crate) enum NoRetry {
    /// It may be sent to a server that wasn't tried and has no free slot now.
    Busy(Decision),
    /// Its caller gets a final answer.
    Final(Decision),
}

impl NoRetry {
    /// What to tell a caller that won't wait.
    pub(crate) fn decision(self) -> Decision {
        match self {
            NoRetry::Busy(decision) | NoRetry::Final(decision) => decision,
        }
    }
}

/// A request that was admitted and waits for its turn.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) key: RequestKey,
    pub(crate) queue_result: oneshot::Receiver<QueueResult>,
}
