//! Settings, commands and counters of a plain service.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// A fault injected into requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceFault {
    /// No fault.
    #[default]
    None,
    /// Hangs before the side effect.
    HangBefore,
    /// Hangs after the side effect.
    HangAfter,
    /// Closes the connection without a response after the side effect.
    DropAfter,
    /// Crashes the service after the side effect.
    CrashAfter,
    /// Responds with 503 without a side effect.
    Unavailable,
    /// Responds with 503 without a side effect, and asks the sender to wait for three seconds.
    Resting,
}

/// Initial settings of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Delay before the side effect, in milliseconds.
    pub before_ms: u64,
    /// Delay between the side effect and the response, in milliseconds.
    pub after_ms: u64,
    /// Concurrency limit reported by `/load`.
    pub batch_limit: usize,
}

impl Default for ServiceSettings {
    fn default() -> ServiceSettings {
        ServiceSettings {
            before_ms: 0,
            after_ms: 0,
            batch_limit: 64,
        }
    }
}

/// A command to a plain service.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum ServiceCommand {
    /// Sets the delays before and after the side effect.
    Delay {
        /// Delay before the side effect, in milliseconds.
        before_ms: u64,
        /// Delay between the side effect and the response, in milliseconds.
        after_ms: u64,
    },
    /// Injects a fault into requests received from now on.
    Fault {
        /// The fault.
        fault: ServiceFault,
        /// Number of affected requests; `None` for all.
        #[serde(default)]
        times: Option<u32>,
    },
    /// Closes the listener and all connections immediately.
    Crash,
    /// Refuses new connections and keeps open ones.
    Refuse {
        /// Whether the fault is active.
        on: bool,
    },
    /// Listens again after `Crash` or `Refuse`; the effect counts are kept.
    Restart,
    /// Clears all faults and listens again.
    Clear,
}

/// Counters of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ServiceStats {
    /// Requests received, without `/load`.
    pub calls: u64,
    /// Reads of `/load`.
    pub polls: u64,
    /// Side effects, including repeated ones.
    pub effects: u64,
    /// Requests that received a response after their side effect.
    pub answered: u64,
    /// Requests in progress.
    pub running: u64,
    /// Distinct keys with a side effect.
    pub keys: u64,
    /// Side effects without a key, or with a new key beyond the maximum number of counted keys.
    pub uncounted: u64,
    /// Number of side effects of each key that has more than one.
    pub repeated: BTreeMap<String, u64>,
}
