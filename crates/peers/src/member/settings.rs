//! Settings of the membership.

use crocushold_base::Millis;

/// Settings of a [`Member`](crate::Member); the defaults are sized for 400 instances.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Time between two probes.
    pub probe_interval: Millis,
    /// Time that a probed member has to answer before others are asked to probe it.
    pub probe_timeout: Millis,
    /// How many others are asked.
    pub helpers: usize,
    /// Shortest time between suspicion and death, in probe intervals, before it grows with the
    /// logarithm of the number of members.
    pub suspicion_intervals: u64,
    /// Factor from the shortest to the longest such time.
    pub suspicion_factor: u64,
    /// Independent suspicions after which the shortest time counts.
    pub confirmations: usize,
    /// Ceiling of the local health score.
    pub max_health_score: u64,
    /// Updates that one message carries at most.
    pub max_updates: usize,
    /// Members known at most.
    pub max_members: usize,
    /// Time for which the dead are remembered, so that late gossip doesn't bring them back.
    pub tombstone_ttl: Millis,
    /// Time between two tries to reach an instance that is listed or lost.
    pub retry_interval: Millis,
    /// Least time between two comparisons of whole views.
    pub sync_interval: Millis,
    /// Gap between two ticks from which the process counts as paused.
    pub pause_threshold: Millis,
    /// Longest wait for a peer while joining.
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
