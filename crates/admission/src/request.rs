//! Requests as submitted and as stored by the scheduler.

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::RequestKey;

use crate::class::StartMark;
use crate::throughput::DemandRate;

/// A request submitted for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Class of the request.
    pub class: ClassKey,
    /// Account that sent the request.
    pub account: AccountKey,
    /// Model, for a service that runs model engines.
    pub model: Option<ModelKey>,
    /// Prompt length in tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens allowed by the caller; 1 for a plain service.
    pub max_tokens: u32,
    /// Memory held by the request while it is queued.
    pub bytes: u32,
    /// Time after which the caller no longer waits; `Millis::MAX` if unknown.
    pub deadline: Millis,
}

impl Default for Arrival {
    fn default() -> Arrival {
        Arrival {
            class: ClassKey::default(),
            account: AccountKey::default(),
            model: None,
            prompt_tokens: 0,
            max_tokens: u32::MAX,
            bytes: 0,
            deadline: Millis::MAX,
        }
    }
}

/// Which of a class's two queues holds a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lane {
    /// The request can still meet its target.
    OnTime,
    /// The request missed its target, but an answer is still useful.
    Late,
}

/// Position of a queued request: the sort key inside one account's queue, and the attributes by
/// which queues are compared by their head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// Latest start that meets the target.
    pub(crate) latest_start: Millis,
    /// Arrival sequence number.
    pub(crate) seq: u64,
    pub(crate) key: RequestKey,
    /// Deadline scaled by the class's weight; orders classes of a tier.
    pub(crate) scaled_deadline: Millis,
    /// Estimated cost in output tokens.
    pub(crate) charge: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Queued(Lane),
    Running(Run),
}

/// State of a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) started: Millis,
    /// Cost charged so far; increases when the output exceeds the estimate.
    pub(crate) charged: u64,
    pub(crate) first_token_seen: bool,
    /// Value of the scheduler's pause counter when the request started.
    pub(crate) pauses_at_start: u32,
    pub(crate) selected_by: SelectedBy,
    pub(crate) mark: StartMark,
}

/// Why a request was selected for dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SelectedBy {
    /// Its class was first in dispatch order.
    Rank,
    /// The floor of its class was due.
    Floor,
}

/// A request stored by the scheduler.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) class: ClassKey,
    pub(crate) account: AccountKey,
    pub(crate) model: Option<ModelKey>,
    pub(crate) position: QueuePosition,
    /// Time from which on starting the request is of no use.
    pub(crate) expires_at: Millis,
    pub(crate) arrived: Millis,
    pub(crate) demand: DemandRate,
    pub(crate) prompt_tokens: u32,
    /// Output tokens expected of the class, before the account's bias; used to update that bias.
    pub(crate) expected_output: u32,
    pub(crate) bytes: u32,
    /// Tokens consumed from the account's token rate at admission.
    pub(crate) billed_tokens: u64,
    pub(crate) stage: Stage,
}

impl Request {
    /// Next time at which a queued request becomes late or expires.
    pub(crate) fn next_timeout(&self, lane: Lane) -> Millis {
        match lane {
            Lane::OnTime => self.position.latest_start.min(self.expires_at),
            Lane::Late => self.expires_at,
        }
    }
}
