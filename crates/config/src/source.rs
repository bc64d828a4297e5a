//! Parses INI text into sections whose entries have line numbers.

use ini::Ini;
use ini::ParseOption;

use crate::finding::Finding;
use crate::finding::Findings;
use crate::finding::Severity;
use crate::line_index::SectionLines;
use crate::line_index::index_lines;

/// A `key = value` entry.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
    /// The line isn't a `key = value`, and a finding already says so.
    pub(crate) malformed: bool,
}

/// A section: its header, which holds a kind and a name, and its entries in order.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    pub(crate) header: String,
    pub(crate) line: usize,
    pub(crate) entries: Vec<Entry>,
}

/// Parses a text whose first line has the number `first_line`.
///
/// Each line that isn't valid INI becomes a finding, and the other lines are still parsed.
pub(crate) fn parse(
    text: &str,
    first_line: usize,
    team: &str,
    findings: &mut Findings,
) -> Vec<Section> {
    let index = index_lines(text, first_line);
    for malformed in &index.malformed {
        findings.push(syntax_error(
            team,
            malformed.line,
            &malformed.section,
            malformed.message,
        ));
    }
    // Values are literal, without quoting or escapes.
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = match Ini::load_from_str_opt(&index.cleaned, options) {
        Ok(ini) => ini,
        Err(error) => {
            let line = first_line + error.line.saturating_sub(1);
            findings.push(syntax_error(team, line, "", &error.msg));
            return Vec::new();
        }
    };
    merge(&ini, index.sections, team).unwrap_or_else(|finding| {
        findings.push(finding);
        Vec::new()
    })
}

/// Merges the sections and keys that the INI library parsed with their lines in the index.
///
/// Both must agree on every section and key, and the text is rejected at the first difference.
/// Otherwise a finding could refer to a wrong line, or text that its author doesn't mean as a key
/// could be taken for one.
fn merge(ini: &Ini, lines: Vec<SectionLines>, team: &str) -> Result<Vec<Section>, Finding> {
    let mut parsed = ini.iter().filter(|(name, _)| name.is_some());
    let mut sections = Vec::with_capacity(lines.len());
    for located in lines {
        let unreadable = |line| {
            let message = "the line can't be read; write [KIND NAME] or KEY = VALUE";
            syntax_error(team, line, &located.header, message)
        };
        let Some((Some(name), properties)) = parsed.next() else {
            return Err(unreadable(located.line));
        };
        if name != located.header || properties.iter().count() != located.keys.len() {
            return Err(unreadable(located.line));
        }
        let mut entries = Vec::with_capacity(located.keys.len());
        for ((key, value), key_line) in properties.iter().zip(&located.keys) {
            if key != key_line.key {
                return Err(unreadable(key_line.line));
            }
            entries.push(Entry {
                key: key.to_owned(),
                value: value.to_owned(),
                line: key_line.line,
                malformed: key_line.malformed,
            });
        }
        sections.push(Section {
            header: located.header,
            line: located.line,
            entries,
        });
    }
    Ok(sections)
}

fn syntax_error(team: &str, line: usize, section: &str, message: &str) -> Finding {
    Finding {
        team: team.to_owned(),
        line,
        section: section.to_owned(),
        key: String::new(),
        severity: Severity::Error,
        message: message.to_owned(),
    }
}
