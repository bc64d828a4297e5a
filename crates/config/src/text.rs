//! The whole shared text: one part for each team.

use std::collections::BTreeMap;

use crate::finding;
use crate::finding::Finding;
use crate::finding::Severity;
use crate::link::link;
use crate::part::Part;
use crate::units;

/// The shared configuration text.
///
/// Parts are held by team name, so that the order in which they are written or fetched changes
/// nothing.
#[derive(Clone, Debug, Default)]
pub struct ConfigText {
    parts: BTreeMap<String, Part>,
    stray: Vec<Finding>,
}

/// A slice of the whole text that begins with a `[team NAME]` line.
struct Slice<'a> {
    team: &'a str,
    line: usize,
    text: &'a str,
}

impl ConfigText {
    /// Splits a whole text at its `[team NAME]` lines and parses each part by itself.
    pub fn parse(text: &str) -> ConfigText {
        let mut whole = ConfigText::default();
        let (stray, slices) = split(text);
        whole.add_stray(stray);
        for slice in slices {
            whole.add(&slice);
        }
        whole
    }

    /// Parses one team's part anew and leaves the others alone.
    ///
    /// The text begins with the team's `[team NAME]` line and holds no other such line.
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

    /// Drops one team's part.
    pub fn remove_part(&mut self, team: &str) {
        self.parts.remove(team);
    }

    /// The parts, ordered by team.
    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        self.parts.values()
    }

    /// One team's part.
    pub fn part(&self, team: &str) -> Option<&Part> {
        self.parts.get(team)
    }

    /// Every finding: of each part by itself, and of references between teams.
    pub fn findings(&self) -> Vec<Finding> {
        let mut all = self.stray.clone();
        let parts = self.parts.values();
        all.extend(parts.flat_map(|part| part.findings().iter().cloned()));
        all.extend(link(self).findings.into_sorted());
        finding::sort(&mut all);
        all
    }

    fn add(&mut self, slice: &Slice<'_>) {
        let mut part = Part::parse(slice.team, slice.text, slice.line);
        if let Err(error) = units::name(slice.team) {
            part.reject(error.to_string());
        }
        // Neither of two parts may win: whichever did, the order of the text or of the fetches
        // would decide. The platform holds one part a team, so this meets a local file only.
        if let Some(first) = self.parts.get_mut(slice.team) {
            let message = "the team has two parts, and neither is in force; write one";
            first.reject(message.to_owned());
            part.reject(message.to_owned());
            self.stray.extend_from_slice(part.findings());
            return;
        }
        self.parts.insert(slice.team.to_owned(), part);
    }

    fn add_stray(&mut self, text: &str) {
        let comment = |line: &str| line.starts_with(['#', ';']);
        let mut lines = text.lines().enumerate();
        let stray = lines.find(|(_, line)| !line.trim().is_empty() && !comment(line));
        if let Some((offset, _)) = stray {
            self.stray.push(Finding {
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

/// The text before the first part, and the parts.
fn split(text: &str) -> (&str, Vec<Slice<'_>>) {
    let mut starts = Vec::new();
    let mut offset = 0;
    for (index, line) in text.split_inclusive('\n').enumerate() {
        if let Some(team) = team_line(line) {
            starts.push((offset, index + 1, team));
        }
        offset += line.len();
    }
    let stray = starts.first().map_or(text, |(start, ..)| &text[..*start]);
    let ends = starts.iter().skip(1).map(|(start, ..)| *start);
    let ends = ends.chain([text.len()]);
    let slices = starts
        .iter()
        .zip(ends)
        .map(|((start, line, team), end)| Slice {
            team,
            line: *line,
            text: &text[*start..end],
        });
    (stray, slices.collect())
}

/// The name in a `[team NAME]` line.
fn team_line(line: &str) -> Option<&str> {
    let rest = line.trim().strip_prefix("[team")?;
    let name = rest.strip_suffix(']').unwrap_or(rest);
    let apart = name.is_empty() || name.starts_with(char::is_whitespace);
    apart.then_some(name.trim())
}
