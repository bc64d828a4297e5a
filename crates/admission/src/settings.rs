//! Settings of a scheduler.

use crocushold_base::Millis;

/// Settings of a [`Scheduler`](crate::Scheduler). All have defaults; override by update syntax.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of the jitter on retry times.
    pub seed: u64,
    /// Most requests that may be queued.
    pub queue_limit: u32,
    /// Most bytes that queued requests may hold.
    pub queue_bytes: u64,
    /// Prompt tokens that cost as much engine time as one output token.
    pub prompt_ratio: u32,
    /// Output tokens assumed before any answer of a class was seen.
    pub default_output: u32,
    /// Quantile of past output lengths that is charged at admission, from 0 to 1.
    pub output_quantile: f64,
    /// Share of the remaining slack that the predicted wait may fill before a request is refused.
    pub wait_margin: f64,
    /// Shortest retry time that is ever given.
    pub retry_min: Millis,
    /// Longest retry time that is ever given, before jitter.
    pub retry_max: Millis,
    /// A pause between two events from which on durations that span it teach nothing.
    pub pause_threshold: Millis,
    /// Slots kept free for the live tier.
    pub headroom: HeadroomSettings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            seed: 0,
            queue_limit: 10_000,
            queue_bytes: 128 * 1024 * 1024,
            prompt_ratio: 8,
            default_output: 256,
            output_quantile: 0.7,
            wait_margin: 0.8,
            retry_min: Millis::from_secs(1),
            retry_max: Millis::from_secs(300),
            pause_threshold: Millis::from_secs(2),
            headroom: HeadroomSettings::default(),
        }
    }
}

/// How many slots lower tiers leave free for bursts of the live tier.
#[derive(Clone, Debug, PartialEq)]
pub struct HeadroomSettings {
    /// Share of all slots that is always left free, from 0 to 1.
    pub min_share: f64,
    /// Share of all slots that is left free at most, from 0 to 1: the goodput that bursts may cost.
    pub max_share: f64,
    /// Length of the windows in which arrivals of the live tier are counted.
    pub window: Millis,
    /// Time in which the memory of a peak fades to half.
    pub half_life: Millis,
}

impl Default for HeadroomSettings {
    fn default() -> HeadroomSettings {
        HeadroomSettings {
            min_share: 0.0,
            max_share: 0.03,
            window: Millis(2000),
            half_life: Millis::from_secs(600),
        }
    }
}
