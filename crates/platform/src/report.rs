//! Conditions that the state machines report.

use std::fmt;

use crocushold_base::Millis;

use crate::call::Failure;

/// A condition of the platform to report to operators.
///
/// A lasting condition is reported when it begins and when it ends, not for each call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// Calls began to fail.
    Unreachable {
        /// The first failure.
        failure: Failure,
    },
    /// Calls succeed again.
    Recovered {
        /// Duration of the outage.
        outage: Millis,
    },
    /// An answer has an older revision than an earlier one and was not applied.
    OlderRevision {
        /// The revision of the answer.
        offered: u64,
        /// The highest revision seen.
        held: u64,
    },
    /// The instance list is empty and was not applied.
    EmptyList,
    /// Entries of the instance list could not be parsed and were left out.
    MalformedEntries {
        /// Number of these entries.
        count: usize,
        /// The parse error of the first one.
        cause: String,
    },
    /// The process was suspended past a deadline; everything is read again.
    LateWake {
        /// How late the process woke up.
        late: Millis,
    },
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Report::Unreachable { failure } => write!(f, "unreachable: {failure}"),
            Report::Recovered { outage } => write!(f, "recovered after {outage}"),
            Report::OlderRevision { offered, held } => {
                write!(f, "older revision {offered} after {held}: not applied")
            }
            Report::EmptyList => f.write_str("empty instance list: not applied"),
            Report::MalformedEntries { count, cause } => {
                write!(f, "{count} unreadable instance entries, the first: {cause}")
            }
            Report::LateWake { late } => write!(f, "woke {late} late: reading again"),
        }
    }
}
