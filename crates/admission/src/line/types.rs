//! What passes between a [`Line`](super::Line) and its driver.

use crocushold_base::Millis;
use crocushold_base::RequestKey;
use slotmap::new_key_type;

use super::returns::Visit;

new_key_type! {
    /// A group of interchangeable engines.
    pub struct LineGroupKey;
}

/// Settings of a [`Line`](super::Line).
#[derive(Clone, Debug, PartialEq)]
pub struct LineSettings {
    /// Maximum number of waiting requests in a group.
    pub max_waiting: u32,
    /// Number of accounts beyond which those without requests are forgotten.
    pub max_accounts: usize,
    /// Maximum number of refused requests of a group whose return times and places are kept.
    pub max_returns: usize,
    /// Minimum time after which a refused request may return.
    pub retry_min: Millis,
}

impl Default for LineSettings {
    fn default() -> LineSettings {
        LineSettings {
            max_waiting: 10_000,
            max_accounts: 16 * 1024,
            max_returns: 10_000,
            retry_min: Millis(200),
        }
    }
}

/// A request that joins the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineArrival {
    /// The service.
    pub service: u32,
    /// Name of the group of engines that it prefers, unique over all services.
    pub group: u64,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// The client account.
    pub account: u32,
    /// Hash of what it asks, which is the same when it comes back; zero if that isn't known.
    pub request: u32,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Expected length of the answer, in tokens.
    pub output_tokens: u32,
    /// How long it may wait in the line.
    pub limit: Millis,
    /// Time after which its caller wouldn't return.
    pub patience: Millis,
}

/// A request in the line, or one that has left it for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaiterKey {
    pub(super) group: LineGroupKey,
    pub(super) request: RequestKey,
}

/// The final answer to a request that is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineRefusal {
    /// Time after which room is expected.
    pub retry_after: Millis,
    /// Expected wait if it joined now; zero if it isn't known.
    pub wait: Millis,
    /// Number of requests of its rank and of more urgent ones that wait in its group.
    pub ahead: u32,
    /// Share of its account in the tokens of its rank that began in its group in about the last second,
    /// in percent.
    pub share: u8,
}

/// The engines to which a request is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineScope {
    /// Those of its group that can begin it soon.
    Group,
    /// Those of other groups too that can begin it soon.
    Any,
    /// Any, however long their queues are.
    Unbounded,
}

/// What the driver does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "a request that was offered is in nobody's queue"]
pub enum LineStep {
    /// Offer the request to the engines, and call [`Line::begin`](super::Line::begin) or
    /// [`Line::put_back`](super::Line::put_back).
    Offer(WaiterKey, LineScope),
    /// Answer the request with the refusal. Its key is no longer valid.
    Refuse(WaiterKey, LineRefusal),
}

/// How a request that left the line ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineEnd {
    /// A whole answer of so many tokens.
    Complete(u32),
    /// A part of an answer.
    Partial(u32),
    /// It didn't run.
    NotRun,
}

/// The waiting requests of a rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LineStatus {
    /// Their number.
    pub waiting: u32,
    /// How long the first of them has waited.
    pub oldest: Millis,
}

/// The refusals of some time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LineRefusals {
    /// Their number.
    pub total: u32,
    /// The accounts with the most, with their numbers.
    pub largest: Vec<(u32, u32)>,
}

/// Requests that were refused and may return.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LineReturns {
    /// Number of those whose times and places are kept.
    pub kept: usize,
    /// Number of those that came back in their time, since they were last taken.
    pub in_time: u32,
    /// Number of those that came back before it, since they were last taken.
    pub early: u32,
}

impl LineReturns {
    pub(super) fn count(&mut self, visit: Visit) {
        match visit {
            Visit::First => {}
            Visit::Early => self.early += 1,
            Visit::InTime(_) => self.in_time += 1,
        }
    }
}
