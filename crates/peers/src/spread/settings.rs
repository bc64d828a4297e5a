//! Settings of the dissemination of the configuration.

use crocushold_base::Millis;

/// Settings of a [`Spread`](crate::Spread); the defaults are sized for 400 instances.
#[derive(Clone, Debug)]
pub struct SpreadSettings {
    /// Number of instances in each zone that hold a watch on the platform.
    pub watchers: usize,
    /// Maximum rate of platform calls of all watchers together, in calls per second.
    pub watch_rate: f64,
    /// Maximum rate of platform calls of all other instances together, in calls per second.
    pub read_rate: f64,
    /// Maximum rate of platform calls of one instance, in calls per second; also its burst.
    pub instance_rate: f64,
    /// Time that a watch waits on the platform. Short, since a silently lost connection is only
    /// noticed when the wait ends, and a change is to be in force within 5 s.
    pub watch_timeout: Millis,
    /// Interval between two reads by an instance that holds no watch, extended by up to a quarter
    /// at random. It lets an instance that reaches the platform but no peers put a change in force
    /// within 5 s.
    pub read_interval: Millis,
    /// Initial backoff after a failed read, or after a watch that returned at once without news.
    pub backoff: Millis,
    /// Maximum backoff.
    pub max_backoff: Millis,
    /// Time that a peer or the platform has to answer before another source is asked; it doubles
    /// with each fourth consecutive timeout.
    pub answer_timeout: Millis,
    /// Maximum of that time.
    pub max_answer_timeout: Millis,
    /// Maximum time to wait for peers and for the platform while joining.
    pub join_timeout: Millis,
    /// Number of peers whose revision is queried while joining.
    pub join_peers: usize,
    /// Number of neighbours to which a change is announced at once; the others learn of it with a
    /// probe.
    pub fanout: usize,
    /// Minimum interval between two comparisons of all parts with a peer at the same revision.
    pub compare_interval: Millis,
    /// Maximum size of a part's text in bytes.
    pub max_part_bytes: usize,
    /// Maximum total size of all texts in bytes.
    pub max_total_bytes: usize,
}

impl Default for SpreadSettings {
    fn default() -> SpreadSettings {
        SpreadSettings {
            watchers: 2,
            watch_rate: 500.0,
            read_rate: 250.0,
            instance_rate: 20.0,
            watch_timeout: Millis(2500),
            read_interval: Millis::from_secs(3),
            backoff: Millis::from_secs(1),
            max_backoff: Millis::from_secs(30),
            answer_timeout: Millis(700),
            max_answer_timeout: Millis::from_secs(4),
            join_timeout: Millis::from_secs(4),
            join_peers: 3,
            fanout: 2,
            compare_interval: Millis::from_secs(30),
            max_part_bytes: 1 << 20,
            max_total_bytes: 64 << 20,
        }
    }
}
