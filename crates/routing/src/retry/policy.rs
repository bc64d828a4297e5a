//! The rule for retrying a failed attempt.

use crocushold_base::Millis;

use crate::retry::Budget;
use crate::retry::BudgetSettings;

/// The stage that an attempt reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// No connection was established.
    NotConnected,
    /// A connection of its own was established, but no byte of the request was written.
    Connected,
    /// The server answered, by a protocol that can express it, that it didn't and won't run the
    /// request.
    Rejected,
    /// At least one byte of the request may have been sent. This includes a failed write, since the
    /// kernel may have sent part of it.
    Written,
    /// The head of an answer arrived.
    ///
    /// This proves nothing about the work, whatever the status: a server may answer `503` after it
    /// started, and an intermediary may answer on its behalf. Where a protocol marks answers that
    /// promise that the request didn't run, those are [`Stage::Rejected`].
    Answered,
    /// A byte of the answer was sent to the caller.
    Relayed,
}

impl Stage {
    /// Returns true if no byte of the request reached a server.
    pub fn proves_unsent(self) -> bool {
        self <= Stage::Connected
    }

    /// Returns true if the request provably didn't run.
    pub fn proves_not_run(self) -> bool {
        self <= Stage::Rejected
    }
}

/// Whether an abandoned request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// It provably didn't run.
    No,
    /// It may have run, partly or completely.
    Unknown,
}

/// The properties of a request that the policy needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// Running it twice is harmless.
    pub idempotent: bool,
    /// A byte of an answer was sent to the caller.
    pub relayed: bool,
    /// An earlier attempt wrote a byte of it, with unknown outcome.
    pub written: bool,
    /// Number of attempts so far, including the failed one.
    pub attempts: u32,
    /// When the caller stops waiting.
    pub deadline: Millis,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it again now, to another server.
    Retry,
    /// Send the caller a final answer now.
    GiveUp {
        /// What the answer may claim about the request.
        ran: Ran,
        /// Time until the caller may retry. `None` if the request may have run, because the caller
        /// would take a time as a promise that it hadn't.
        retry_after: Option<Millis>,
    },
}

/// Settings of a [`RetryPolicy`].
#[derive(Clone, Debug)]
pub struct RetrySettings {
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// The minimum retry time sent to the caller when nothing ran.
    pub retry_after: Millis,
    /// The retry budget.
    pub budget: BudgetSettings,
    /// Whether a retry also uses the budget after an attempt of which no byte was sent. Such a
    /// retry adds no load to any server. Without the charge, all requests that a crashed server
    /// refused go to its peers at once, however small the budget is.
    pub charge_unsent: bool,
    /// How long an attempt waits for a first byte before a second attempt starts in parallel;
    /// `None` disables hedging.
    pub hedge_after: Option<Millis>,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings {
            max_attempts: 3,
            retry_after: Millis::from_secs(1),
            budget: BudgetSettings::default(),
            charge_unsent: true,
            hedge_after: None,
        }
    }
}

/// Decides about retries; one for each service on each entry instance.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    settings: RetrySettings,
    budget: Budget,
}

impl RetryPolicy {
    /// Creates a policy with a full budget.
    pub fn new(settings: RetrySettings, now: Millis) -> RetryPolicy {
        RetryPolicy {
            budget: Budget::new(settings.budget.clone(), now),
            settings,
        }
    }

    /// Records a request's first attempt, which fills the budget.
    pub fn first_attempt(&mut self, now: Millis) {
        self.budget.deposit(now);
    }

    /// Decides whether to retry after an attempt failed at `stage`.
    pub fn after_failure(&mut self, facts: &RequestFacts, stage: Stage, now: Millis) -> Decision {
        let clean = stage.proves_not_run() && !facts.written && !facts.relayed;
        if !may_repeat(facts, stage, clean) {
            return give_up(Ran::Unknown, None);
        }
        let ran = if clean { Ran::No } else { Ran::Unknown };
        if facts.attempts >= self.settings.max_attempts || now >= facts.deadline {
            return self.refuse(ran, self.settings.retry_after);
        }
        let free = stage.proves_unsent() && !self.settings.charge_unsent;
        if !free && !self.budget.withdraw(now) {
            let wait = self.budget.wait().max(self.settings.retry_after);
            return self.refuse(ran, wait);
        }
        Decision::Retry
    }

    /// Returns whether to start a second attempt in parallel to one that has waited `waited` for a
    /// first byte.
    ///
    /// Only an idempotent request is hedged, at most once, from the retry budget, and only if
    /// hedging is enabled.
    pub fn hedge(&mut self, facts: &RequestFacts, waited: Millis, now: Millis) -> bool {
        let Some(after) = self.settings.hedge_after else {
            return false;
        };
        let due = waited >= after && now < facts.deadline;
        let allowed = facts.idempotent && !facts.relayed && facts.attempts == 1;
        due && allowed && self.budget.withdraw(now)
    }

    fn refuse(&self, ran: Ran, wait: Millis) -> Decision {
        give_up(ran, (ran == Ran::No).then_some(wait))
    }
}

/// Returns whether the request may be retried: never after a byte was relayed, and not after a byte
/// was sent if it isn't idempotent.
///
/// If a booking whose connection was cut after the write were sent again, two families could get
/// the same slot. Whether a byte was sent is the only available evidence.
fn may_repeat(facts: &RequestFacts, stage: Stage, clean: bool) -> bool {
    if facts.relayed || stage == Stage::Relayed {
        return false;
    }
    facts.idempotent || clean
}

fn give_up(ran: Ran, retry_after: Option<Millis>) -> Decision {
    Decision::GiveUp { ran, retry_after }
}
