//! Requests, as they arrive and as they are held.

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::RequestKey;

use crate::throughput::DemandRate;

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its class.
    pub class: ClassKey,
    /// The account that sent it.
    pub account: AccountKey,
    /// The model, if the service is one of model engines.
    pub model: Option<ModelKey>,
    /// Length of the prompt in tokens; for a plain service 0.
    pub prompt_tokens: u32,
    /// Most output tokens that the caller allows; for a plain service 1.
    pub max_tokens: u32,
    /// Memory that the queued request holds.
    pub bytes: u32,
    /// The instant after which the caller no longer waits; `Millis::MAX` if it didn't say.
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

/// Which of a class's two queues a request stands in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lane {
    /// Can still meet the target.
    OnTime,
    /// Missed the target, but an answer is still of use.
    Late,
}

/// A queued request's place: the order inside one account's queue, and what the choice between
/// queues needs to know of its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// The last instant at which a start meets the target.
    pub(crate) latest_start: Millis,
    /// Order of arrival.
    pub(crate) seq: u64,
    pub(crate) key: RequestKey,
    /// Deadline scaled by the class's weight; the order between classes.
    pub(crate) scaled_deadline: Millis,
    /// Estimated cost in output tokens.
    pub(crate) charge: u64,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Queued(Lane),
    Running(Run),
}

/// A started request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) started: Millis,
    /// Cost charged so far; grows when the output outruns the estimate.
    pub(crate) charged: u64,
    pub(crate) first_token_seen: bool,
    /// Value of the scheduler's pause counter at the start.
    pub(crate) pauses_at_start: u32,
    pub(crate) selected_by: SelectedBy,
}

/// By which right a request was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SelectedBy {
    /// Its class was first in order.
    Rank,
    /// The floor of its class.
    Floor,
}

/// A request that the scheduler holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) class: ClassKey,
    pub(crate) account: AccountKey,
    pub(crate) model: Option<ModelKey>,
    pub(crate) position: QueuePosition,
    /// The instant from which on a start is of no use.
    pub(crate) expires_at: Millis,
    pub(crate) arrived: Millis,
    pub(crate) demand: DemandRate,
    pub(crate) prompt_tokens: u32,
    /// Estimated output tokens before the account's bias, for learning that bias.
    pub(crate) expected_output: u32,
    pub(crate) bytes: u32,
    /// Tokens taken from the account's rate.
    pub(crate) billed_tokens: u64,
    pub(crate) stage: Stage,
}

impl Request {
    /// The next instant at which a queued request changes its state by waiting.
    pub(crate) fn next_timeout(&self, lane: Lane) -> Millis {
        match lane {
            Lane::OnTime => self.position.latest_start.min(self.expires_at),
            Lane::Late => self.expires_at,
        }
    }
}
