//! Configuration of classes and accounts.

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;

/// Number of tiers. A higher tier number is clamped to the last tier.
pub const MAX_TIERS: usize = 8;

/// Configuration of a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Key of the class.
    pub key: ClassKey,
    /// Priority tier; 0 is the highest. Tiers are served in strict order, except for floors.
    pub tier: u8,
    /// Weight relative to other classes of the tier: the fraction of its target that a class waits
    /// is inversely proportional to its weight.
    pub weight: f64,
    /// Latency target: time from arrival to the first token, or to the answer of a plain service.
    /// A request attains its target if this takes no longer. `Millis::MAX` for none.
    pub target: Millis,
    /// Time from arrival after which an answer is of no use and the request is refused; at least
    /// `target` is used. `Millis::MAX` for a class whose requests wait until they are served.
    pub max_wait: Millis,
    /// Guaranteed share of all dispatched tokens while the class has queued requests, from 0 to 1.
    pub floor: f64,
    /// Maximum number of queued requests of the class.
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

/// Configuration of a client account. The limits apply to the whole fleet; see
/// [`Scheduler::set_share`](crate::Scheduler::set_share).
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSpec {
    /// Key of the account.
    pub key: AccountKey,
    /// Weight in fair queuing relative to the other accounts of a class.
    pub weight: f64,
    /// Requests per second.
    pub request_rate: f64,
    /// Prompt and output tokens per second.
    pub token_rate: f64,
    /// Time over which an unused rate accumulates.
    pub burst: Millis,
    /// Maximum number of requests in flight.
    pub concurrency: u32,
    /// Maximum number of queued requests.
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
