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
    pub instance_rate: f64,
    /// How long a watch waits on the platform. Short, since a connection that died without a sign is
    /// noticed at the end of the wait only, and a change is to be in force within 5 s.
    pub watch_timeout: Millis,
    /// Time between two reads by an instance that holds no watch, up to a quarter more at random. An
    /// instance that the platform reaches and its peers don't has a change in force within 5 s by it.
    pub read_interval: Millis,
    /// First wait after a failed read, or after a watch that returned at once without news.
    pub backoff: Millis,
    /// Longest such wait.
    pub max_backoff: Millis,
    /// Time that a peer or the platform has to answer before another is asked; it doubles with each
    /// fourth time in a row that it was too short.
    pub answer_timeout: Millis,
    /// Longest such time.
    pub max_answer_timeout: Millis,
    /// Longest wait for peers and for the platform while joining.
    pub join_timeout: Millis,
    /// Peers whose revision is asked for while joining.
    pub join_peers: usize,
    /// Neighbours to which a change is announced at once; the others hear of it with a probe.
    pub fanout: usize,
    /// Least time between two comparisons of all parts with a peer at the same revision.
    pub compare_interval: Millis,
    /// Largest text of a part, in bytes.
    pub max_part_bytes: usize,
    /// Largest sum of all texts, in bytes.
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
