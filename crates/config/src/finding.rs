//! Findings: what is wrong with a text, and where.

use std::fmt;

/// How grave a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// The edition that holds it is rejected whole.
    Error,
    /// The edition is accepted; the message says what is not in force.
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

/// One mistake in a text, with its place and what to write instead.
///
/// The fields are in the order in which findings are sorted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The team whose part holds the mistake; empty in the local settings.
    pub team: String,
    /// The line, counted from 1 in the text that was given.
    pub line: usize,
    /// The section's header without brackets.
    pub section: String,
    /// The key; empty when the finding is about a whole section.
    pub key: String,
    /// Whether the edition is rejected.
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

/// The most findings that one edition or the links between teams may hold.
pub(crate) const MAX_FINDINGS: usize = 1000;

/// Collects findings, up to a bound.
///
/// A part of one megabyte can hold half a million bad lines. Without the bound their findings would
/// take a hundred times the part's size on every instance.
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

    /// Whether any finding, kept or not, rejects its edition.
    pub(crate) fn has_error(&self) -> bool {
        self.has_error
    }

    /// The findings, ordered by place.
    pub(crate) fn into_sorted(self) -> Vec<Finding> {
        let mut list = self.list;
        sort(&mut list);
        list
    }
}

/// Sorts by place and drops repeats.
pub(crate) fn sort(findings: &mut Vec<Finding>) {
    findings.sort();
    findings.dedup();
}
