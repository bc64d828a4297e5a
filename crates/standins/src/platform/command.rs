//! Settings, commands and counters of the platform.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::instances::Instance;
use super::instances::InstanceState;

/// What the platform starts with.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Reads granted in a second, over all readers.
    pub read_budget: u64,
    /// Parts of the configuration text by team; each gets a revision of its own, in this order.
    pub parts: BTreeMap<String, String>,
    /// The instance list; it shows at once.
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
    /// Replaces the instance list; it shows after the lag.
    Instances {
        /// The new list.
        instances: Vec<Instance>,
    },
    /// Changes the state of one instance; it shows after the lag.
    InstanceState {
        /// The instance.
        id: String,
        /// Its new state.
        state: InstanceState,
    },
    /// Sets how late the instance list shows a change, in milliseconds.
    Lag {
        /// The lag in milliseconds.
        ms: u64,
    },
    /// Accepts connections and answers nothing until it is off again; what waits is answered then.
    Frozen {
        /// Whether the fault is on.
        on: bool,
    },
    /// Refuses connections and closes the open ones.
    Down {
        /// Whether the fault is on.
        on: bool,
    },
    /// Answers as of an older revision, whatever is published; none ends it.
    Stale {
        /// The revision to answer with.
        revision: Option<u64>,
    },
    /// Makes an older revision the current one.
    GoBack {
        /// The revision to go back to.
        revision: u64,
        /// Whether later changes use the numbers of the lost ones again.
        #[serde(default)]
        reuse: bool,
    },
    /// Sets the reads granted in a second.
    Budget {
        /// Reads a second.
        reads: u64,
    },
}

/// Counters of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PlatformStats {
    /// Calls within the budget; a watch counts once.
    pub reads: u64,
    /// Calls answered 429.
    pub refused: u64,
    /// The most reads granted in one second.
    pub peak: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Reads of the index.
    pub indexes: u64,
    /// Reads of a part.
    pub parts: u64,
    /// Watches begun.
    pub watches: u64,
    /// Reads of the instance list.
    pub lists: u64,
    /// Newest revision that was published.
    pub revision: u64,
}
