//! Statistics reported by a scheduler.

use crocushold_base::ClassKey;
use crocushold_base::Millis;

/// Statistics of a scheduler, for metrics and status pages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// Number of queued requests.
    pub queued: u32,
    /// Memory held by queued requests, in bytes.
    pub bytes: u64,
    /// Number of requests in flight.
    pub running: u32,
    /// Slots that lower tiers leave free at present.
    pub headroom: u32,
    /// Learned throughput of the service in estimated tokens per second; zero until a request has
    /// finished.
    pub tokens_per_second: f64,
}

/// Statistics of one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassStatus {
    /// Key of the class.
    pub class: ClassKey,
    /// Number of queued requests.
    pub queued: u32,
    /// Estimated cost of the queued requests, in output tokens.
    pub backlog: u64,
    /// Number of accounts with queued requests.
    pub accounts: u32,
    /// Number of accounts whose fair-queuing state is kept, with or without queued requests.
    pub flows: u32,
    /// Predicted wait of a request that joins the end of the queue now.
    pub predicted_wait: Millis,
}
