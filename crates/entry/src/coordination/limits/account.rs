//! One client account at the gate.

use crocushold_base::Millis;
use crocushold_config as config;
use crocushold_ownership::AccountId;
use crocushold_ownership::Limit;

/// Weight of the newest answer in the mean length of an account's answers.
const OUTPUT_GAIN: f64 = 0.1;

/// Which of an account's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitKind {
    /// Requests a second.
    Requests,
    /// Tokens a second, prompt and answer together.
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

    /// The configuration's name of the limit.
    pub(crate) fn name(self) -> &'static str {
        match self {
            LimitKind::Requests => "requests",
            LimitKind::Tokens => "tokens",
            LimitKind::Concurrency => "concurrency",
        }
    }

    /// The id under which instances lend each other this limit of the account called `name`.
    pub(crate) fn id(self, name: &str) -> AccountId {
        AccountId::from_name(&format!("{}/{name}", self.name()))
    }

    /// The limit as the ledger counts it: rates without a bound on slots, slots without a rate.
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

/// A request over one of its account's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitExceeded {
    pub(crate) kind: LimitKind,
    pub(crate) retry_after: Millis,
}

/// What is known of a request's tokens before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenEstimate {
    pub(crate) prompt: u32,
    /// Most tokens of the answer.
    pub(crate) output: u32,
}

/// What an admitted request took.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Charge {
    pub(crate) prompt: u32,
    /// Tokens taken in advance.
    pub(crate) tokens: f64,
    /// Whether it holds a slot of the ledger's.
    pub(crate) slot: bool,
}

/// Units that were taken and not used. They end soon, so that refunds don't add up to a burst.
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

    /// Takes up to `units`; returns how many.
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
    /// The ids of its limits, worked out once: a refusal must stay cheap.
    ids: [AccountId; 3],
    pub(super) limits: config::Limits,
    /// Requests in progress on this instance.
    pub(super) running: u32,
    pub(super) requests: Credit,
    pub(super) tokens: Credit,
    /// Tokens that were used and are still to be taken from the rate.
    pub(super) debt: f64,
    /// The mean length of its answers.
    mean_output: f64,
    /// Refused since the last event in the log, by limit.
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

    /// What a request is expected to cost.
    pub(super) fn estimated_cost(&self, estimate: &TokenEstimate) -> f64 {
        f64::from(estimate.prompt) + self.mean_output.min(f64::from(estimate.output))
    }

    pub(super) fn observe_output(&mut self, output: u32) {
        self.mean_output += (f64::from(output) - self.mean_output) * OUTPUT_GAIN;
    }
}
