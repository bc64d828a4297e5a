//! Settings of a router.

use crocushold_base::Millis;

/// Settings of a [`Router`](crate::Router).
#[derive(Clone, Debug)]
pub struct Settings {
    /// Servers sampled for each choice; 1 is a random choice, 2 the power of two choices.
    pub choices: usize,
    /// The cost of a server in another availability zone, in requests of load; below 1, so that the
    /// zone never outweighs one request.
    pub zone_cost: f64,
    /// How many times the cost of the best sampled server the prefix's home may have and still be
    /// preferred.
    pub affinity_bound: f64,
    /// Prefixes remembered from cache events, at most.
    pub cache_hints: usize,
    /// How far a choice among sampled servers follows the load reports, 0 to 1.
    ///
    /// A lagged report tells all instances alike which servers were idle, so all send there: with
    /// the full gain a choice is worse than without reports.
    pub report_gain: f64,
    /// How long a load report counts; its weight falls linearly to zero over this span.
    pub report_ttl: Millis,
    /// How long after the last attempt to read the instance list the held list may be acted on.
    /// `Millis::MAX` for a service without an instance list.
    pub list_lease: Millis,
    /// How long the list's revisions must have gone back before the count is taken to have
    /// restarted.
    pub list_reset: Millis,
    /// How long picks are refused when the lease was found expired, unless a read of the list ends.
    pub wake_grace: Millis,
    /// A gap between two calls that means that the process was stopped.
    pub wake_gap: Millis,
    /// The least first-byte timeout.
    pub first_byte_floor: Millis,
    /// The greatest first-byte timeout, also used before anything was measured.
    pub first_byte_ceiling: Millis,
    /// The first-byte timeout as a multiple of the 99th percentile observed.
    pub first_byte_multiple: f64,
    /// When a server is taken out, and when it returns.
    pub health: HealthSettings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            choices: 3,
            zone_cost: 0.5,
            affinity_bound: 1.5,
            cache_hints: 65_536,
            report_gain: 0.25,
            report_ttl: Millis::from_secs(3),
            list_lease: Millis::from_secs(5),
            list_reset: Millis::from_secs(60),
            wake_grace: Millis::from_secs(1),
            wake_gap: Millis::from_secs(3),
            first_byte_floor: Millis::from_secs(1),
            first_byte_ceiling: Millis::from_secs(30),
            first_byte_multiple: 3.0,
            health: HealthSettings::default(),
        }
    }
}

/// When a server is ejected, and when it returns.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// Consecutive failures that eject a server.
    pub max_failures: u32,
    /// The least span between two failures, or two slow samples, that count apart; those closer
    /// together are one event, such as a crash that cuts every connection.
    pub min_failure_gap: Millis,
    /// How long a failure is remembered without a further one.
    pub failure_memory: Millis,
    /// How many times slower than its peers a straggler is.
    pub straggler_ratio: f64,
    /// Slow samples that eject a straggler; one as fast as the peers takes four away.
    pub slow_samples: u32,
    /// The first ejection's length; doubles with each further one.
    pub eject_base: Millis,
    /// The longest ejection.
    pub eject_max: Millis,
    /// The first wait after a refused connection; doubles with each further one.
    pub refused_base: Millis,
    /// The longest wait after refused connections.
    pub refused_max: Millis,
    /// The greatest share of servers ejected on suspicion; at least one server where there are two
    /// or more.
    pub max_ejected: f64,
}

impl Default for HealthSettings {
    fn default() -> HealthSettings {
        HealthSettings {
            max_failures: 3,
            min_failure_gap: Millis(200),
            failure_memory: Millis::from_secs(10),
            straggler_ratio: 3.0,
            slow_samples: 5,
            eject_base: Millis::from_secs(2),
            eject_max: Millis::from_secs(60),
            refused_base: Millis(500),
            refused_max: Millis::from_secs(30),
            max_ejected: 0.3,
        }
    }
}
