//! Settings of a router.

use crocushold_base::Millis;

/// Settings of a [`Router`](crate::Router).
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of servers sampled for each choice: 1 is a random choice, 2 the power of two choices.
    pub choices: usize,
    /// The ratio of the servers' concurrency to the number of requests that they run at once. The
    /// others wait.
    pub overcommit: u32,
    /// Cost of a server in another availability zone, in requests of load. Less than 1, so that the
    /// zone never outweighs one request.
    pub zone_cost: f64,
    /// The prefix's home is preferred if its cost is at most this multiple of the best sampled
    /// server's.
    pub affinity_bound: f64,
    /// Maximum number of prefixes remembered from cache events.
    pub cache_hints: usize,
    /// How far a choice among sampled servers follows the load reports, from 0 to 1.
    ///
    /// A lagged report tells all instances that the same servers were idle, so all of them send
    /// there. With a gain of 1, choices are worse than without reports.
    pub report_gain: f64,
    /// Lifetime of a load report. Its weight falls linearly to zero over this span.
    pub report_ttl: Millis,
    /// How long after the last attempt to read the instance list the current list remains valid.
    /// `Millis::MAX` for a service without an instance list.
    pub list_lease: Millis,
    /// How long the list's revisions must have been lower than before until they are taken to have
    /// restarted.
    pub list_reset: Millis,
    /// How long picks are refused after the lease was found expired, unless a read of the list ends
    /// earlier.
    pub wake_grace: Millis,
    /// A gap between two calls that indicates that the process was suspended.
    pub wake_gap: Millis,
    /// Minimum first-byte timeout.
    pub first_byte_floor: Millis,
    /// Maximum first-byte timeout, which also applies before the first measurement.
    pub first_byte_ceiling: Millis,
    /// The first-byte timeout as a multiple of the observed 99th percentile.
    pub first_byte_multiple: f64,
    /// When a server is ejected and when it returns.
    pub health: HealthSettings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            choices: 3,
            overcommit: 1,
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

/// When a server is ejected and when it returns.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// Consecutive failures that eject a server.
    pub max_failures: u32,
    /// Minimum time between two failures, or two slow samples, that are counted separately. Those
    /// closer together are one event, such as a crash that cuts every connection.
    pub min_failure_gap: Millis,
    /// How long a failure is remembered if no other follows.
    pub failure_memory: Millis,
    /// A straggler is at least this many times slower than its peers.
    pub straggler_ratio: f64,
    /// Slow samples that eject a straggler. One as fast as its peers cancels four.
    pub slow_samples: u32,
    /// The first ejection's duration, which doubles with each further one.
    pub eject_base: Millis,
    /// Maximum duration of an ejection.
    pub eject_max: Millis,
    /// The first backoff after a refused connection, which doubles with each further one.
    pub refused_base: Millis,
    /// Maximum backoff after refused connections.
    pub refused_max: Millis,
    /// Maximum fraction of servers ejected on suspicion; at least one server if there are two or
    /// more.
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
