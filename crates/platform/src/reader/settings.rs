//! Settings of the reader.

use crocushold_base::Millis;

use crate::pace::BackoffSettings;

/// Pace, deadlines and bounds of a [`ConfigReader`](crate::ConfigReader).
///
/// The defaults keep one instance at no more than 3 calls a second after a burst of 32: 400
/// instances stay under 1,200 of the 2,000 that all readers share, also in a storm of changes. The
/// watch is short, because a connection that died silently is noticed at its deadline only: gap,
/// watch, grace and first pause together leave 750 ms of the 5 s in which a change has to be in
/// force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderSettings {
    /// Seed of the jitter; differs between instances.
    pub seed: u64,
    /// The call budget refills by one call in this span.
    pub interval: Millis,
    /// Calls that may be made at once after a quiet time.
    pub burst: u32,
    /// How long the service is asked to hold a watch.
    pub wait: Millis,
    /// How much longer than `wait` a watch may take.
    pub grace: Millis,
    /// Deadline of the other calls.
    pub timeout: Millis,
    /// Shortest time between the starts of two index calls.
    pub gap: Millis,
    /// A wake later than this counts as late.
    pub margin: Millis,
    /// Parts read at the same time.
    pub parallel: usize,
    /// Failed reads of one part after which the others are published without it.
    pub tries: u32,
    /// Longest part, in bytes.
    pub limit: u64,
    /// Pauses after failures.
    pub backoff: BackoffSettings,
}

impl Default for ReaderSettings {
    fn default() -> ReaderSettings {
        ReaderSettings {
            seed: 0,
            interval: Millis(334),
            burst: 32,
            wait: Millis(2_500),
            grace: Millis(500),
            timeout: Millis::from_secs(2),
            gap: Millis::from_secs(1),
            margin: Millis::from_secs(1),
            parallel: 4,
            tries: 3,
            limit: 1 << 20,
            backoff: BackoffSettings::default(),
        }
    }
}
