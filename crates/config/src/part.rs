//! One team's part, and whether it is accepted.

use crate::check::check;
use crate::decl::Declared;
use crate::finding;
use crate::finding::Finding;
use crate::finding::Findings;
use crate::finding::Severity;
use crate::read::read;
use crate::source;

/// The most bytes that a part may hold.
pub const MAX_PART: usize = 1 << 20;

/// The line after which the previous edition stands.
const PREVIOUS: &str = "[previous]";

/// Which edition of a part is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InForce {
    /// The current edition, which has no errors.
    Current,
    /// The previous edition, because the current one has errors.
    Previous,
    /// Neither: both have errors, or there is no previous one.
    Nothing,
}

/// One team's part of the text: a current edition and perhaps the previous one.
///
/// Whether an edition is accepted depends on the part alone: not on the time, on other parts or on
/// what was in force before. So every instance, also one that starts afterwards, decides alike.
#[derive(Clone, Debug)]
pub struct Part {
    team: String,
    line: usize,
    in_force: InForce,
    declared: Declared,
    findings: Vec<Finding>,
}

impl Part {
    /// Parses a part whose first line has the number `first`.
    pub(crate) fn parse(team: &str, text: &str, first: usize) -> Part {
        let mut part = Part {
            team: team.to_owned(),
            line: first,
            in_force: InForce::Nothing,
            declared: Declared::default(),
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
        if let Some(declared) = self.parse_edition(current, self.line, "team") {
            self.in_force = InForce::Current;
            self.declared = declared;
        }
        let Some(previous) = previous else {
            return;
        };
        let declared = self.parse_edition(previous, self.line + lines, "previous");
        if self.in_force == InForce::Current {
            return;
        }
        if let Some(declared) = declared {
            self.in_force = InForce::Previous;
            self.declared = declared;
        }
    }

    /// The declarations of an edition; nothing when it has an error.
    fn parse_edition(&mut self, text: &str, first: usize, head: &str) -> Option<Declared> {
        let mut findings = Findings::default();
        let sections = source::parse(text, first, &self.team, &mut findings);
        let begins = sections.first().and_then(|s| s.header.split(' ').next());
        if begins != Some(head) {
            self.findings.extend(findings.into_sorted());
            self.reject(format!("begin with [team {}]", self.team));
            return None;
        }
        let declared = read(&self.team, &sections, &mut findings);
        check(&self.team, &declared, &mut findings);
        let accepted = !findings.has_error();
        self.findings.extend(findings.into_sorted());
        accepted.then_some(declared)
    }

    /// Adds an error about the whole part and puts nothing of it in force.
    pub(crate) fn reject(&mut self, message: String) {
        self.in_force = InForce::Nothing;
        self.declared = Declared::default();
        self.findings.push(Finding {
            team: self.team.clone(),
            line: self.line,
            section: format!("team {}", self.team),
            key: String::new(),
            severity: Severity::Error,
            message,
        });
    }

    /// The team that writes the part.
    pub fn team(&self) -> &str {
        &self.team
    }

    /// Which edition is in force.
    pub fn in_force(&self) -> InForce {
        self.in_force
    }

    /// What is wrong with either edition, by line.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    pub(crate) fn declared(&self) -> &Declared {
        &self.declared
    }
}

/// The current edition, and the previous one with its `[previous]` line.
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

/// The part to publish next: `draft` with the edition that `published` has in force behind it.
///
/// Published so, an error in the draft leaves the team where it was. A `[previous]` edition that
/// the draft itself holds is dropped.
///
/// # Errors
///
/// The findings when the published part has nothing in force, or when the result is too long.
pub fn with_previous(team: &str, draft: &str, published: &str) -> Result<String, Vec<Finding>> {
    let mut part = Part::parse(team, published, 1);
    let (current, previous) = split_editions(published);
    let edition = match part.in_force {
        InForce::Current => current,
        InForce::Previous => previous.unwrap_or_default(),
        InForce::Nothing => return Err(part.findings),
    };
    let body = without_head(edition);
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

/// An edition without its first section's header and what stands before that.
fn without_head(edition: &str) -> &str {
    let mut start = 0;
    for line in edition.split_inclusive('\n') {
        start += line.len();
        if line.trim_start().starts_with('[') {
            break;
        }
    }
    &edition[start..]
}
