//! Settings of the spread of the configuration.

use crocushold_base::Millis;

/// Settings of a [`Spread`](crate::Spread); the defaults are sized for 400 instances.
#[derive(Clone, Debug)]
pub struct SpreadSettings {
    /// Instances of a zone that hold a watch on the platform.
    pub watchers: usize,
    /// Platform calls a second that all watchers together may make.
    pub watch_rate: f64,
    /// Platform calls a second that all other instances together may make.
    pub read_rate: f64,
    /// Platform calls a second that one instance may make at most; also its burst.
    pub own_rate: f64,
    /// How long a watch waits on the platform. Short, since a connection that died without a sign is
    /// noticed at the end of the wait only, and a change is to be in force within 5 s.
    pub watch_wait: Millis,
    /// Time between two reads by an instance that holds no watch.
    pub reread: Millis,
    /// First wait after a failed read, or after a watch that returned at once without news.
    pub backoff: Millis,
    /// Longest such wait.
    pub backoff_ceiling: Millis,
    /// Time that a peer or the platform has to answer before another is asked; it doubles with each
    /// fourth time in a row that it was too short.
    pub answer_wait: Millis,
    /// Longest such time.
    pub answer_ceiling: Millis,
    /// Longest wait for peers and for the platform while joining.
    pub join_wait: Millis,
    /// Peers whose revision is asked for while joining.
    pub join_peers: usize,
    /// Neighbours to which a change is announced at once; the others hear of it with a probe.
    pub fanout: usize,
    /// Least time between two comparisons of all parts with a peer at the same revision.
    pub compare_interval: Millis,
    /// Largest text of a part, in bytes.
    pub part_bytes: usize,
    /// Largest sum of all texts, in bytes.
    pub total_bytes: usize,
}

impl Default for SpreadSettings {
    fn default() -> SpreadSettings {
        SpreadSettings {
            watchers: 2,
            watch_rate: 500.0,
            read_rate: 250.0,
            own_rate: 20.0,
            watch_wait: Millis(2500),
            reread: Millis::from_secs(120),
            backoff: Millis::from_secs(1),
            backoff_ceiling: Millis::from_secs(30),
            answer_wait: Millis(700),
            answer_ceiling: Millis::from_secs(4),
            join_wait: Millis::from_secs(4),
            join_peers: 3,
            fanout: 2,
            compare_interval: Millis::from_secs(30),
            part_bytes: 1 << 20,
            total_bytes: 64 << 20,
        }
    }
}
