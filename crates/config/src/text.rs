//! The shared configuration text, with one part per team.

use std::collections::BTreeMap;

use crate::finding;
use crate::finding::Finding;
use crate::finding::Severity;
use crate::link::link;
use crate::part::Part;
use crate::units;

/// The shared configuration text.
///
/// Parts are keyed by team name, so the order in which they are written or fetched has no effect.
#[derive(Clone, Debug, Default)]
pub struct ConfigText {
    parts: BTreeMap<String, Part>,
    /// Findings that belong to no part in `parts`.
    other_findings: Vec<Finding>,
}

/// A section of the whole text that begins with a `[team NAME]` line.
struct PartSlice<'a> {
    team: &'a str,
    line: usize,
    text: &'a str,
}

impl ConfigText {
    /// Splits a text at its `[team NAME]` lines and parses each part independently.
    pub fn parse(text: &str) -> ConfigText {
        let mut config = ConfigText::default();
        let (preamble, slices) = split(text);
        config.check_preamble(preamble);
        for slice in slices {
            config.add_part(&slice);
        }
        config
    }

    /// Parses and sets one team's part, without affecting the other parts.
    ///
    /// The text must begin with the team's `[team NAME]` line and have no other such line;
    /// otherwise the part is rejected.
    pub fn set_part(&mut self, team: &str, text: &str) -> &Part {
        let (_, slices) = split(text);
        let mut part = Part::parse(team, text, 1);
        let single = matches!(&slices[..], [slice] if slice.team == team);
        if !single {
            part.reject(format!(
                "begin with [team {team}] and write no other [team NAME] line"
            ));
        }
        self.parts.insert(team.to_owned(), part);
        &self.parts[team]
    }

    /// Removes one team's part.
    pub fn remove_part(&mut self, team: &str) {
        self.parts.remove(team);
    }

    /// Returns the parts, ordered by team.
    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        self.parts.values()
    }

    /// Returns one team's part.
    pub fn part(&self, team: &str) -> Option<&Part> {
        self.parts.get(team)
    }

    /// Returns the findings in each part and those about references between teams.
    pub fn findings(&self) -> Vec<Finding> {
        let mut all = self.other_findings.clone();
        let parts = self.parts.values();
        all.extend(parts.flat_map(|part| part.findings().iter().cloned()));
        all.extend(link(self).findings.into_sorted());
        finding::sort(&mut all);
        all
    }

    fn add_part(&mut self, slice: &PartSlice<'_>) {
        let mut part = Part::parse(slice.team, slice.text, slice.line);
        if let Err(error) = units::name(slice.team) {
            part.reject(error.to_string());
        }
        // Neither part is accepted, since otherwise the order of the text or of the fetches would
        // decide between them. The platform stores one part per team, so this happens only in local
        // files.
        if let Some(first) = self.parts.get_mut(slice.team) {
            let message = "the team has two parts, and neither is in force; write one";
            first.reject(message.to_owned());
            part.reject(message.to_owned());
            self.other_findings.extend_from_slice(part.findings());
            return;
        }
        self.parts.insert(slice.team.to_owned(), part);
    }

    fn check_preamble(&mut self, text: &str) {
        let comment = |line: &str| line.starts_with(['#', ';']);
        let mut lines = text.lines().enumerate();
        let first_content = lines.find(|(_, line)| !line.trim().is_empty() && !comment(line));
        if let Some((offset, _)) = first_content {
            self.other_findings.push(Finding {
                team: String::new(),
                line: offset + 1,
                section: String::new(),
                key: String::new(),
                severity: Severity::Error,
                message: "the line belongs to no team; write [team NAME] above it".to_owned(),
            });
        }
    }
}

/// Splits a text into the lines before the first part and the parts.
fn split(text: &str) -> (&str, Vec<PartSlice<'_>>) {
    let mut starts = Vec::new();
    let mut offset = 0;
    for (index, line) in text.split_inclusive('\n').enumerate() {
        if let Some(team) = team_line(line) {
            starts.push((offset, index + 1, team));
        }
        offset += line.len();
    }
    let preamble = starts.first().map_or(text, |(start, ..)| &text[..*start]);
    let ends = starts.iter().skip(1).map(|(start, ..)| *start);
    let ends = ends.chain([text.len()]);
    let slices = starts
        .iter()
        .zip(ends)
        .map(|((start, line, team), end)| PartSlice {
            team,
            line: *line,
            text: &text[*start..end],
        });
    (preamble, slices.collect())
}

/// Returns the name in a `[team NAME]` line.
fn team_line(line: &str) -> Option<&str> {
    let rest = line.trim().strip_prefix("[team")?;
    let name = rest.strip_suffix(']').unwrap_or(rest);
    let is_team_line = name.is_empty() || name.starts_with(char::is_whitespace);
    is_team_line.then_some(name.trim())
}
