//! Settings and commands of an engine.

use serde::Deserialize;
use serde::Serialize;

use super::batch::BatchSettings;
use super::fault::Cut;
use super::output::LengthDistribution;

/// Initial settings of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Speed and size of the batch.
    pub batch: BatchSettings,
    /// Models loaded at startup.
    pub models: Vec<String>,
    /// Whether orders with an older fencing token are refused.
    pub checks: bool,
    /// Role reported by `/load`: `prefill`, `decode` or `both`.
    pub role: String,
    /// Time to load a model, in milliseconds.
    pub load_ms: u64,
    /// Age of load reports, in milliseconds.
    pub report_lag: u64,
    /// Capacity of the prefix cache, in prefixes.
    pub cache_limit: usize,
    /// Share of a prompt's tokens that needn't be prefilled when its prefix is cached.
    pub cached_share: f64,
    /// Delay of cache events, in milliseconds.
    pub event_delay: u64,
    /// Share of cache events that are lost.
    pub event_gaps: f64,
    /// Distribution of response lengths for requests without `target_tokens`; `None` uses
    /// `max_tokens`.
    pub lengths: Option<LengthDistribution>,
    /// Seed of the random number generators.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            batch: BatchSettings::default(),
            models: vec!["clara-8b".to_owned()],
            checks: true,
            role: "both".to_owned(),
            load_ms: 500,
            report_lag: 200,
            cache_limit: 256,
            cached_share: 0.8,
            event_delay: 200,
            event_gaps: 0.05,
            lengths: None,
            seed: 1,
        }
    }
}

/// A command to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum EngineCommand {
    /// Slows the engine down; a factor of 1 ends the fault.
    Slow {
        /// Factor on the duration of each step.
        factor: f64,
    },
    /// Changes speed and size of the batch.
    Batch {
        /// The new settings.
        settings: BatchSettings,
    },
    /// Simulates a stopped process: connections are accepted, no path responds, and the batch makes
    /// no progress. Pending requests continue when the fault ends.
    Hang {
        /// Whether the fault is active.
        on: bool,
    },
    /// Closes the listener and all connections immediately; the batch and the cache are lost.
    Crash,
    /// Listens again after `Crash` or `Refuse`.
    Restart,
    /// Refuses new connections and keeps open ones.
    Refuse {
        /// Whether the fault is active.
        on: bool,
    },
    /// Responds with 503 to all completions.
    Unavailable {
        /// Whether the fault is active.
        on: bool,
    },
    /// Truncates responses; `None` ends the fault.
    Cut {
        /// Where and how responses are truncated.
        cut: Option<Cut>,
    },
    /// Stalls responses and keeps their connections open; `None` ends the fault.
    Stall {
        /// Number of tokens sent before the stall; nothing is sent of a response without a stream.
        after: Option<u32>,
    },
    /// Samples the lengths of responses; `None` uses `max_tokens`.
    Lengths {
        /// The distribution.
        lengths: Option<LengthDistribution>,
        /// Seed of the samples.
        seed: u64,
    },
    /// Sets the age of load reports.
    ReportLag {
        /// The lag in milliseconds.
        ms: u64,
    },
    /// Sets the delay and the loss rate of cache events.
    Events {
        /// The delay in milliseconds.
        delay_ms: u64,
        /// Share of events that are lost.
        gaps: f64,
    },
    /// Sets whether orders with an old fencing number are refused.
    Checks {
        /// Whether they are refused.
        on: bool,
    },
    /// Reports that the client of a request disconnects now, to measure the time until the request
    /// is cancelled.
    HangUp {
        /// Marker of the request.
        marker: String,
    },
    /// Clears the faults on completions, `Slow` and `Hang`, and listens again.
    Clear,
}

impl EngineCommand {
    /// Whether the command changes the duration of the step in progress.
    pub(super) fn changes_speed(&self) -> bool {
        matches!(
            self,
            EngineCommand::Slow { .. }
                | EngineCommand::Batch { .. }
                | EngineCommand::Crash
                | EngineCommand::Clear
        )
    }
}
