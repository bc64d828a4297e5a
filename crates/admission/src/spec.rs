//! What the configuration says about classes and accounts.

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;

/// Number of tiers; a higher tier number is clamped to the last.
pub const MAX_TIERS: usize = 8;

/// A class of requests, as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// The class.
    pub key: ClassKey,
    /// Tier, 0 being the live one. Tiers are served in strict order, but for the floors.
    pub tier: u8,
    /// Priority among the classes of the tier: the share of its target that a class waits is
    /// inverse to its weight.
    pub weight: f64,
    /// Time from arrival to the first token (or to the answer of a plain service) that counts as
    /// attained. `Millis::MAX` for none.
    pub target: Millis,
    /// Time from arrival after which an answer is of no use and the request is refused instead;
    /// never taken shorter than `target`. `Millis::MAX` for a class that waits until it is served.
    pub max_wait: Millis,
    /// Guaranteed share of all dispatched tokens while the class has work queued, from 0 to 1.
    pub floor: f64,
    /// Most requests of the class that may be queued.
    pub max_queued: u32,
}

impl Default for ClassSpec {
    fn default() -> ClassSpec {
        ClassSpec {
            key: ClassKey::default(),
            tier: 0,
            weight: 1.0,
            target: Millis::MAX,
            max_wait: Millis::MAX,
            floor: 0.02,
            max_queued: u32::MAX,
        }
    }
}

impl ClassSpec {
    pub(crate) fn tier_index(&self) -> usize {
        usize::from(self.tier).min(MAX_TIERS - 1)
    }
}

/// A client account, as configured. The limits are those of the whole fleet; see
/// [`Scheduler::set_share`](crate::Scheduler::set_share).
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSpec {
    /// The account.
    pub key: AccountKey,
    /// Share of a class relative to other accounts.
    pub weight: f64,
    /// Requests a second.
    pub request_rate: f64,
    /// Prompt and output tokens a second.
    pub token_rate: f64,
    /// Time for which an unused rate may be saved up.
    pub burst: Millis,
    /// Most requests in flight at once.
    pub concurrency: u32,
    /// Most requests queued at once.
    pub max_queued: u32,
}

impl Default for AccountSpec {
    fn default() -> AccountSpec {
        AccountSpec {
            key: AccountKey::default(),
            weight: 1.0,
            request_rate: f64::INFINITY,
            token_rate: f64::INFINITY,
            burst: Millis::from_secs(10),
            concurrency: u32::MAX,
            max_queued: u32::MAX,
        }
    }
}
