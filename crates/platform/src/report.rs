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
    /// An answer lists other parts under a revision that is already held; it was not applied.
    SameRevisionDiffers {
        /// The revision.
        revision: u64,
    },
    /// A team's part comes with an older revision than the index or an earlier answer gave; the
    /// earlier text stays.
    PartOlder {
        /// The team.
        team: String,
        /// The revision answered.
        offered: u64,
        /// The revision expected.
        expected: u64,
    },
    /// A team's part can't be read; its earlier text stays, and the other teams' go ahead.
    PartUnread {
        /// The team.
        team: String,
        /// Why.
        failure: Failure,
    },
    /// A watch came back at once without a change.
    HastyWatch {
        /// How long it waited.
        waited: Millis,
    },
    /// The instance list is empty; the earlier one stays.
    EmptyList,
    /// Entries of the instance list could not be read and are left out.
    Misfits {
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
            Report::SameRevisionDiffers { revision } => {
                write!(f, "other parts under revision {revision}: not applied")
            }
            Report::PartOlder {
                team,
                offered,
                expected,
            } => write!(f, "part of {team} at {offered} instead of {expected}"),
            Report::PartUnread { team, failure } => {
                write!(f, "part of {team} not read: {failure}")
            }
            Report::HastyWatch { waited } => write!(f, "watch came back after {waited}"),
            Report::EmptyList => f.write_str("empty instance list: not applied"),
            Report::Misfits { count, cause } => {
                write!(f, "{count} unreadable instance entries, the first: {cause}")
            }
            Report::LateWake { late } => write!(f, "woke {late} late: reading again"),
        }
    }
}
