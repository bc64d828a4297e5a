//! One team's part of the configuration, and the decision whether it is accepted.

use crate::check::check;
use crate::decl::Declarations;
use crate::finding;
use crate::finding::Finding;
use crate::finding::Findings;
use crate::finding::Severity;
use crate::read::read;
use crate::source;

/// Maximum size of a part, in bytes.
pub const MAX_PART: usize = 1 << 20;

/// The line that begins the previous edition.
const PREVIOUS: &str = "[previous]";

/// Which edition of a part is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InForce {
    /// The current edition, since it has no errors.
    Current,
    /// The previous edition, since the current one has errors.
    Previous,
    /// Neither, since the current edition has errors and the previous one has errors or is missing.
    Nothing,
}

/// One team's part of the text: the current edition and optionally the previous one.
///
/// Whether an edition is accepted depends on the part alone, not on the time, other parts or what
/// was in force before. So all instances decide alike, including those that start later.
#[derive(Clone, Debug)]
pub struct Part {
    team: String,
    line: usize,
    in_force: InForce,
    declarations: Declarations,
    findings: Vec<Finding>,
}

impl Part {
    /// Parses a part whose first line has the number `first_line`.
    pub(crate) fn parse(team: &str, text: &str, first_line: usize) -> Part {
        let mut part = Part {
            team: team.to_owned(),
            line: first_line,
            in_force: InForce::Nothing,
            declarations: Declarations::default(),
            findings: Vec::new(),
        };
        if text.len() > MAX_PART {
            part.reject(format!(
                "the part has {} bytes; shorten it to {MAX_PART}",
                text.len()
            ));
            return part;
        }
        part.parse_editions(text);
        finding::sort(&mut part.findings);
        part
    }

    fn parse_editions(&mut self, text: &str) {
        let (current, previous) = split_editions(text);
        let lines = current.lines().count();
        if let Some(declarations) = self.parse_edition(current, self.line, "team") {
            self.in_force = InForce::Current;
            self.declarations = declarations;
        }
        let Some(previous) = previous else {
            return;
        };
        let declarations = self.parse_edition(previous, self.line + lines, "previous");
        if self.in_force == InForce::Current {
            return;
        }
        if let Some(declarations) = declarations {
            self.in_force = InForce::Previous;
            self.declarations = declarations;
        }
    }

    /// Returns the declarations of an edition, or `None` if it has an error.
    fn parse_edition(&mut self, text: &str, first_line: usize, head: &str) -> Option<Declarations> {
        let mut findings = Findings::default();
        let sections = source::parse(text, first_line, &self.team, &mut findings);
        let first_kind = sections.first().and_then(|s| s.header.split(' ').next());
        if first_kind != Some(head) {
            self.findings.extend(findings.into_sorted());
            self.reject(format!("begin with [team {}]", self.team));
            return None;
        }
        let declarations = read(&self.team, &sections, &mut findings);
        check(&self.team, &declarations, &mut findings);
        let accepted = !findings.has_error();
        self.findings.extend(findings.into_sorted());
        accepted.then_some(declarations)
    }

    /// Adds an error about the whole part and rejects both editions.
    pub(crate) fn reject(&mut self, message: String) {
        self.in_force = InForce::Nothing;
        self.declarations = Declarations::default();
        self.findings.push(Finding {
            team: self.team.clone(),
            line: self.line,
            section: format!("team {}", self.team),
            key: String::new(),
            severity: Severity::Error,
            message,
        });
    }

    /// Returns the team that owns the part.
    pub fn team(&self) -> &str {
        &self.team
    }

    /// Returns which edition is in force.
    pub fn in_force(&self) -> InForce {
        self.in_force
    }

    /// Returns the findings in both editions, by line.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    pub(crate) fn declarations(&self) -> &Declarations {
        &self.declarations
    }
}

/// Splits a part into the current edition and the previous one with its `[previous]` line.
fn split_editions(text: &str) -> (&str, Option<&str>) {
    let mut start = 0;
    for line in text.split_inclusive('\n') {
        if line.trim() == PREVIOUS {
            return (&text[..start], Some(&text[start..]));
        }
        start += line.len();
    }
    (text, None)
}

/// Returns the part to publish next: `draft` followed by the edition of `published` that is in
/// force.
///
/// If the draft has an error, that edition stays in force. A `[previous]` edition in the draft
/// itself is dropped.
///
/// # Errors
///
/// The findings, if the published part has no edition in force or the result is too long.
pub fn with_previous(team: &str, draft: &str, published: &str) -> Result<String, Vec<Finding>> {
    let mut part = Part::parse(team, published, 1);
    let (current, previous) = split_editions(published);
    let edition = match part.in_force {
        InForce::Current => current,
        InForce::Previous => previous.unwrap_or_default(),
        InForce::Nothing => return Err(part.findings),
    };
    let body = without_header(edition);
    let (draft, _) = split_editions(draft);
    let text = format!("{}\n\n{PREVIOUS}\n{body}", draft.trim_end());
    if text.len() > MAX_PART {
        part.findings.clear();
        part.reject(format!(
            "draft and previous edition have {} bytes; shorten them to {MAX_PART}",
            text.len()
        ));
        return Err(part.findings);
    }
    Ok(text)
}

/// Removes the first section's header and everything before it from an edition.
fn without_header(edition: &str) -> &str {
    let mut start = 0;
    for line in edition.split_inclusive('\n') {
        start += line.len();
        if line.trim_start().starts_with('[') {
            break;
        }
    }
    &edition[start..]
}
