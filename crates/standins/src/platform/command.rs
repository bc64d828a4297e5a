//! Settings, commands and counters of the platform.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::instances::Instance;
use super::instances::InstanceState;

/// Initial settings of the platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Reads granted per second, for all readers together.
    pub read_budget: u64,
    /// Parts of the configuration text by team, published in this order, each as a new revision.
    pub parts: BTreeMap<String, String>,
    /// The instance list, visible immediately.
    pub instances: Vec<Instance>,
}

impl Default for PlatformSettings {
    fn default() -> PlatformSettings {
        PlatformSettings {
            read_budget: 2000,
            parts: BTreeMap::new(),
            instances: Vec::new(),
        }
    }
}

/// A command to the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum PlatformCommand {
    /// Publishes a team's part under the next revision.
    Part {
        /// The team.
        team: String,
        /// The whole text of its part.
        text: String,
    },
    /// Removes a team's part under the next revision.
    RemovePart {
        /// The team.
        team: String,
    },
    /// Replaces the instance list; visible after the lag.
    Instances {
        /// The new list.
        instances: Vec<Instance>,
    },
    /// Changes the state of an instance; visible after the lag.
    InstanceState {
        /// The instance.
        id: String,
        /// Its new state.
        state: InstanceState,
    },
    /// Sets the delay until a change of the instance list becomes visible.
    Lag {
        /// The lag in milliseconds.
        ms: u64,
    },
    /// Accepts connections without responding; pending requests complete when the fault ends.
    Frozen {
        /// Whether the fault is active.
        on: bool,
    },
    /// Refuses new connections and closes open ones.
    Down {
        /// Whether the fault is active.
        on: bool,
    },
    /// Serves an older revision regardless of later changes; `None` ends the fault.
    Stale {
        /// The revision to serve.
        revision: Option<u64>,
    },
    /// Rolls the configuration back to an older revision.
    GoBack {
        /// The revision to roll back to.
        revision: u64,
        /// Whether later changes reuse the numbers of the lost revisions.
        #[serde(default)]
        reuse: bool,
    },
    /// Sets the read budget.
    Budget {
        /// Reads granted per second.
        reads: u64,
    },
}

/// Counters of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PlatformStats {
    /// Requests granted by the read budget; a watch counts once.
    pub reads: u64,
    /// Requests refused with 429.
    pub refused: u64,
    /// Maximum number of reads granted in one second.
    pub peak: u64,
    /// Watches in progress.
    pub waiting: u64,
    /// Reads of the index.
    pub indexes: u64,
    /// Reads of a part.
    pub parts: u64,
    /// Watches started.
    pub watches: u64,
    /// Reads of the instance list.
    pub lists: u64,
    /// Newest published revision.
    pub revision: u64,
}
