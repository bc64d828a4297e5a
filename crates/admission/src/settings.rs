//! Settings of a scheduler.

use crocushold_base::Millis;

/// Settings of a [`Scheduler`](crate::Scheduler). All have defaults; override them by struct update
/// syntax.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of the jitter on retry-after times.
    pub seed: u64,
    /// Maximum number of queued requests.
    pub queue_limit: u32,
    /// Maximum memory held by queued requests, in bytes.
    pub queue_bytes: u64,
    /// Number of prompt tokens that cost as much engine time as one output token.
    pub prompt_ratio: u32,
    /// Output tokens assumed for a class until enough of its answers were observed.
    pub default_output: u32,
    /// Quantile of observed output lengths that is charged at admission, from 0 to 1.
    pub output_quantile: f64,
    /// Share of the time left until expiry that the predicted wait may use before a request is
    /// refused.
    pub wait_margin: f64,
    /// Lower bound of the retry-after time.
    pub retry_min: Millis,
    /// Upper bound of the retry-after time, before jitter.
    pub retry_max: Millis,
    /// Interval between two events above which the process is taken to have been suspended;
    /// durations that span such a pause are not learned from.
    pub pause_threshold: Millis,
    /// Slots kept free for tier 0.
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

/// How many slots lower tiers leave free for bursts in tier 0.
#[derive(Clone, Debug, PartialEq)]
pub struct HeadroomSettings {
    /// Minimum share of all slots that is left free, from 0 to 1.
    pub min_share: f64,
    /// Maximum share of all slots that is left free, from 0 to 1; the goodput that bursts may cost.
    pub max_share: f64,
    /// Length of the windows in which arrivals in tier 0 are counted.
    pub window: Millis,
    /// Half-life of the peak number of arrivals.
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
