//! Settings and commands of an engine.

use serde::Deserialize;
use serde::Serialize;

use super::batch::BatchSettings;
use super::fault::Cut;
use super::output::LengthDistribution;

/// What an engine starts with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Speed and size of the batch.
    pub batch: BatchSettings,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Whether orders with an old fencing number are refused.
    pub checks: bool,
    /// The role that `/load` reports: `prefill`, `decode` or `both`.
    pub role: String,
    /// Time to load a model, in milliseconds.
    pub load_ms: u64,
    /// How old load reports are, in milliseconds.
    pub report_lag: u64,
    /// Prefixes that the cache holds.
    pub cache_limit: usize,
    /// Share of a prompt's prefill that a cached prefix saves.
    pub cached_share: f64,
    /// How late cache events show, in milliseconds.
    pub event_delay: u64,
    /// Share of the cache events that are lost.
    pub event_gaps: f64,
    /// Lengths of answers when the request doesn't fix them; none: `max_tokens` is the length.
    pub lengths: Option<LengthDistribution>,
    /// Seed of everything random.
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
    /// Makes each step last longer by this factor; 1 ends it.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// Changes speed and size of the batch.
    Batch {
        /// The new settings.
        settings: BatchSettings,
    },
    /// Stands still like a stopped process: connections are accepted, nothing is answered whatever
    /// the path, and the batch rests. What waits goes on once the fault is off.
    Hang {
        /// Whether the fault is on.
        on: bool,
    },
    /// Closes the listener and all connections at once; the batch and the cache are lost.
    Crash,
    /// Listens again after a crash or a refusal.
    Restart,
    /// Refuses new connections; open ones live on.
    Refuse {
        /// Whether the fault is on.
        on: bool,
    },
    /// Answers 503 to every completion.
    Unavailable {
        /// Whether the fault is on.
        on: bool,
    },
    /// Ends answers in the middle; none ends the fault.
    Cut {
        /// Where and how.
        cut: Option<Cut>,
    },
    /// Streams this many tokens and then no more, on an open connection; none ends the fault.
    Stall {
        /// Tokens that still go out.
        after: Option<u32>,
    },
    /// Draws the lengths of answers; none: `max_tokens` is the length.
    Lengths {
        /// The distribution.
        lengths: Option<LengthDistribution>,
        /// Seed of the draws.
        seed: u64,
    },
    /// Sets how old load reports are.
    ReportLag {
        /// The lag in milliseconds.
        ms: u64,
    },
    /// Sets how late cache events show and how many are lost.
    Events {
        /// The delay in milliseconds.
        delay_ms: u64,
        /// The share that is lost.
        gaps: f64,
    },
    /// Sets whether orders with an old fencing number are refused.
    Checks {
        /// Whether they are.
        on: bool,
    },
    /// Tells that the caller of a marker hangs up now, to measure the time until the cancel.
    HangUp {
        /// The request's marker.
        marker: String,
    },
    /// Ends all faults, and listens again.
    Clear,
}

impl EngineCommand {
    /// Whether a step that was begun before takes another time now.
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
