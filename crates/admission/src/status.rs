//! What a scheduler reports about itself.

use crocushold_base::ClassKey;
use crocushold_base::Millis;

/// Figures of a scheduler, for metrics and status pages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// Requests queued.
    pub queued: u32,
    /// Bytes that queued requests hold.
    pub bytes: u64,
    /// Requests in flight.
    pub running: u32,
    /// Slots that lower tiers leave free at present.
    pub headroom: u32,
    /// Learned speed of the service in estimated tokens a second; zero before anything finished.
    pub tokens_per_second: f64,
}

/// Figures of one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassStatus {
    /// The class.
    pub class: ClassKey,
    /// Requests queued.
    pub queued: u32,
    /// Estimated cost of what is queued, in output tokens.
    pub backlog: u64,
    /// Accounts with something queued.
    pub accounts: u32,
    /// Accounts that are remembered, queued or not.
    pub flows: u32,
    /// Predicted wait of a request that joins the end of the queue now.
    pub predicted_wait: Millis,
}
