//! Findings: errors and warnings with their location in the text.

use std::fmt;

/// The severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// The whole edition that contains it is rejected.
    Error,
    /// The edition is accepted; the message says what isn't in force.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        })
    }
}

/// A mistake in a text, with its location and what to write instead.
///
/// The order of the fields defines the order of findings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The team whose part contains the mistake; empty for the local settings.
    pub team: String,
    /// The line number in the given text, from 1.
    pub line: usize,
    /// The section's header without brackets.
    pub section: String,
    /// The key; empty if the finding is about a whole section.
    pub key: String,
    /// The severity.
    pub severity: Severity,
    /// What is wrong, and what to write instead.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: ", self.line, self.severity)?;
        if !self.team.is_empty() {
            write!(f, "team {}: ", self.team)?;
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section.escape_debug())?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key.escape_debug())?;
        }
        f.write_str(&self.message)
    }
}

/// Maximum number of findings in one edition, and in the references between teams.
pub(crate) const MAX_FINDINGS: usize = 1000;

/// Collects up to [`MAX_FINDINGS`] findings.
///
/// A part of one megabyte can contain half a million malformed lines. Without the limit their
/// findings would use a hundred times the part's size in memory on every instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Findings {
    list: Vec<Finding>,
    has_error: bool,
}

impl Findings {
    pub(crate) fn push(&mut self, finding: Finding) {
        self.has_error |= finding.severity == Severity::Error;
        if self.list.len() < MAX_FINDINGS {
            self.list.push(finding);
        }
    }

    /// Whether any finding is an error, including those dropped over the limit.
    pub(crate) fn has_error(&self) -> bool {
        self.has_error
    }

    /// Returns the findings in order, without duplicates.
    pub(crate) fn into_sorted(self) -> Vec<Finding> {
        let mut list = self.list;
        sort(&mut list);
        list
    }
}

/// Sorts findings and removes duplicates.
pub(crate) fn sort(findings: &mut Vec<Finding>) {
    findings.sort();
    findings.dedup();
}
