//! Settings, commands and counters of a plain service.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Where a call goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceFault {
    /// Nowhere.
    #[default]
    None,
    /// It hangs before it has had its effect.
    HangBefore,
    /// It has its effect, then hangs.
    HangAfter,
    /// It has its effect, then its connection closes without an answer.
    DropAfter,
    /// It has its effect, then the whole service crashes.
    CrashAfter,
    /// It is answered 503 without an effect.
    Unavailable,
}

/// What a plain service starts with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Time from a call to its effect, in milliseconds.
    pub before_ms: u64,
    /// Time from the effect to the answer, in milliseconds.
    pub after_ms: u64,
    /// Calls at once that `/load` reports as the limit.
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
    /// Sets the times before and after the effect.
    Delay {
        /// From the call to the effect, in milliseconds.
        before_ms: u64,
        /// From the effect to the answer, in milliseconds.
        after_ms: u64,
    },
    /// Sets what goes wrong with calls that arrive from now on.
    Fault {
        /// The fault.
        fault: ServiceFault,
        /// How many calls it strikes; none for all.
        #[serde(default)]
        times: Option<u32>,
    },
    /// Closes the listener and all connections at once.
    Crash,
    /// Refuses new connections; open ones live on.
    Refuse {
        /// Whether the fault is on.
        on: bool,
    },
    /// Listens again after a crash or a refusal; the effects are kept.
    Restart,
    /// Ends all faults, and listens again.
    Clear,
}

/// Counters of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ServiceStats {
    /// Calls that arrived.
    pub calls: u64,
    /// Reads of `/load`, which aren't calls.
    pub polls: u64,
    /// Effects, repeated ones included.
    pub effects: u64,
    /// Calls that were answered after their effect.
    pub answered: u64,
    /// Calls that are in progress now.
    pub running: u64,
    /// Different keys that had an effect.
    pub keys: u64,
    /// Effects without a key, or with one too many to count.
    pub uncounted: u64,
    /// Keys that had their effect more than once, with the number.
    pub repeated: BTreeMap<String, u64>,
}
