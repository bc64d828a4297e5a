//! The limits and the usage of one client account.

use crocushold_base::Millis;
use crocushold_config as config;
use crocushold_ownership::AccountId;
use crocushold_ownership::Limit;

/// Weight of the latest response in the moving average of an account's response lengths.
const OUTPUT_GAIN: f64 = 0.1;

/// One of an account's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitKind {
    /// Requests per second.
    Requests,
    /// Tokens per second, prompt and response together.
    Tokens,
    /// Requests in progress.
    Concurrency,
}

impl LimitKind {
    pub(crate) const ALL: [LimitKind; 3] = [
        LimitKind::Requests,
        LimitKind::Tokens,
        LimitKind::Concurrency,
    ];

    /// The name of the limit in the configuration.
    pub(crate) fn name(self) -> &'static str {
        match self {
            LimitKind::Requests => "requests",
            LimitKind::Tokens => "tokens",
            LimitKind::Concurrency => "concurrency",
        }
    }

    /// The id under which instances lend each other this limit of the account `name`.
    pub(crate) fn id(self, name: &str) -> AccountId {
        AccountId::from_name(&format!("{}/{name}", self.name()))
    }

    /// The limit for the ledger: rates have unlimited slots, and slots have no rate.
    pub(crate) fn limit(self, limits: &config::Limits) -> Limit {
        let rate = |rate: u32| Limit {
            rate: f64::from(rate),
            slots: u32::MAX,
        };
        match self {
            LimitKind::Requests => rate(limits.requests),
            LimitKind::Tokens => rate(limits.tokens),
            LimitKind::Concurrency => Limit {
                rate: 0.0,
                slots: limits.concurrency,
            },
        }
    }
}

/// A request that exceeds one of its account's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitExceeded {
    pub(crate) kind: LimitKind,
    pub(crate) retry_after: Millis,
}

/// What is known of a request's tokens before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenEstimate {
    pub(crate) prompt: u32,
    /// Maximum number of tokens of the response.
    pub(crate) output: u32,
}

/// What was charged for an admitted request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Charge {
    pub(crate) prompt: u32,
    /// Tokens charged in advance.
    pub(crate) tokens: f64,
    /// Whether the request holds one of the ledger's slots.
    pub(crate) slot: bool,
}

/// Units that were charged and not used. They expire soon, so that refunds don't accumulate into a
/// burst.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Credit {
    units: f64,
    until: Millis,
}

impl Credit {
    pub(super) fn add(&mut self, units: f64, until: Millis, now: Millis) {
        self.units = self.left(now) + units;
        self.until = until;
    }

    /// Takes up to `units` and returns how many were taken.
    pub(super) fn take(&mut self, units: f64, now: Millis) -> f64 {
        let taken = self.left(now).min(units);
        self.units = self.left(now) - taken;
        taken
    }

    fn left(&self, now: Millis) -> f64 {
        if now < self.until { self.units } else { 0.0 }
    }
}

/// The state of one account.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) name: String,
    /// Ids of the limits, computed once because refusals must be cheap.
    ids: [AccountId; 3],
    pub(super) limits: config::Limits,
    /// Requests in progress on this instance.
    pub(super) running: u32,
    pub(super) requests: Credit,
    pub(super) tokens: Credit,
    /// Tokens that were used and are not yet charged to the rate.
    pub(super) debt: f64,
    /// Moving average of the response length.
    mean_output: f64,
    /// Refusals since the last log event, by limit.
    pub(super) refused: [u32; 3],
    pub(super) logged_at: Millis,
}

impl Account {
    pub(super) fn new(name: &str, limits: config::Limits) -> Account {
        Account {
            name: name.to_owned(),
            ids: LimitKind::ALL.map(|kind| kind.id(name)),
            limits,
            running: 0,
            requests: Credit::default(),
            tokens: Credit::default(),
            debt: 0.0,
            mean_output: 0.0,
            refused: [0; 3],
            logged_at: Millis::ZERO,
        }
    }

    pub(super) fn id(&self, kind: LimitKind) -> AccountId {
        self.ids[kind as usize]
    }

    /// Expected cost of a request, in tokens.
    pub(super) fn estimated_cost(&self, estimate: &TokenEstimate) -> f64 {
        f64::from(estimate.prompt) + self.mean_output.min(f64::from(estimate.output))
    }

    pub(super) fn observe_output(&mut self, output: u32) {
        self.mean_output += (f64::from(output) - self.mean_output) * OUTPUT_GAIN;
    }
}
