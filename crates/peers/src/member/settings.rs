//! Settings of the membership protocol.

use crocushold_base::Millis;

/// Settings of a [`Member`](crate::Member); the defaults are sized for 400 instances.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Interval between two probes.
    pub probe_interval: Millis,
    /// Time that a probed member has to answer before others are asked to probe it.
    pub probe_timeout: Millis,
    /// Number of members that are asked to probe it.
    pub helpers: usize,
    /// Minimum suspicion timeout in probe intervals, before it is multiplied by the logarithm of
    /// the number of members.
    pub suspicion_intervals: u64,
    /// Ratio of the maximum to the minimum suspicion timeout.
    pub suspicion_factor: u64,
    /// Number of independent suspicions, besides the first, at which the minimum suspicion timeout
    /// applies.
    pub confirmations: usize,
    /// Maximum of the local health score.
    pub max_health_score: u64,
    /// Maximum number of updates in a message.
    pub max_updates: usize,
    /// Maximum number of known members.
    pub max_members: usize,
    /// Time for which dead members are remembered, so that late gossip doesn't revive them.
    pub tombstone_ttl: Millis,
    /// Interval between attempts to reach a missing instance.
    pub retry_interval: Millis,
    /// Minimum interval between two comparisons of whole views.
    pub sync_interval: Millis,
    /// Gap between two ticks at which the process is considered to have been paused.
    pub pause_threshold: Millis,
    /// Maximum time to wait for a peer while joining.
    pub join_timeout: Millis,
}

impl Default for MemberSettings {
    fn default() -> MemberSettings {
        MemberSettings {
            probe_interval: Millis(1000),
            probe_timeout: Millis(400),
            helpers: 3,
            suspicion_intervals: 3,
            suspicion_factor: 2,
            confirmations: 2,
            max_health_score: 4,
            max_updates: 8,
            max_members: 1024,
            tombstone_ttl: Millis::from_secs(3600),
            retry_interval: Millis::from_secs(5),
            sync_interval: Millis::from_secs(5),
            pause_threshold: Millis(1500),
            join_timeout: Millis::from_secs(3),
        }
    }
}
