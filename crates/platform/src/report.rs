//! What the machines report.

use std::fmt;

use crocushold_base::Millis;

use crate::call::Failure;

/// Something about the platform that an operator may want to know.
///
/// Lasting conditions are reported when they begin and when they end, not at each call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// Calls began to fail.
    Unreachable {
        /// Why the first one did.
        failure: Failure,
    },
    /// Calls succeed again.
    Recovered {
        /// How long they failed.
        outage: Millis,
    },
    /// An answer carries an older revision than an earlier one; it was not applied.
    OlderRevision {
        /// The revision answered.
        offered: u64,
        /// The highest one seen.
        held: u64,
    },
    /// The instance list is empty; the earlier one stays.
    EmptyList,
    /// Entries of the instance list could not be read and are left out.
    MalformedEntries {
        /// How many.
        count: usize,
        /// What is wrong with the first.
        cause: String,
    },
    /// The process slept past its deadlines; everything is read again.
    LateWake {
        /// How late.
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
