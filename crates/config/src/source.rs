//! Reads one INI text into sections whose entries carry their lines.

use ini::Ini;
use ini::ParseOption;

use crate::finding::Finding;
use crate::finding::Findings;
use crate::finding::Severity;
use crate::locate::SectionLines;
use crate::locate::locate;

/// One `key = value`.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
    /// The line was no `key = value`, which a finding says already.
    pub(crate) broken: bool,
}

/// One section: the kind and the name of its header, and its entries in order.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    pub(crate) header: String,
    pub(crate) line: usize,
    pub(crate) entries: Vec<Entry>,
}

/// Parses a text whose first line has the number `first`, as far as it can be read.
///
/// Every line that is no INI becomes a finding, and the rest is read on.
pub(crate) fn parse(text: &str, first: usize, team: &str, findings: &mut Findings) -> Vec<Section> {
    let lines = locate(text, first);
    for bad in &lines.bad {
        findings.push(syntax_error(team, bad.line, &bad.section, bad.message));
    }
    // Neither quotes nor escapes: a value is what stands on the line.
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = match Ini::load_from_str_opt(&lines.cleaned, options) {
        Ok(ini) => ini,
        Err(error) => {
            let line = first + error.line.saturating_sub(1);
            findings.push(syntax_error(team, line, "", &error.msg));
            return Vec::new();
        }
    };
    join(&ini, lines.sections, team).unwrap_or_else(|finding| {
        findings.push(finding);
        Vec::new()
    })
}

/// Gives each section and key that the library read the line that the locator found.
///
/// The two readers must agree on every section and key; where they don't, the text is rejected at
/// that place. Otherwise a finding could name a wrong line, or a key could be read that its author
/// doesn't see as one.
fn join(ini: &Ini, lines: Vec<SectionLines>, team: &str) -> Result<Vec<Section>, Finding> {
    let mut read = ini.iter().filter(|(name, _)| name.is_some());
    let mut sections = Vec::with_capacity(lines.len());
    for located in lines {
        let unclear = |line| {
            let message = "the line can't be read; write [KIND NAME] or KEY = VALUE";
            syntax_error(team, line, &located.header, message)
        };
        let Some((Some(name), properties)) = read.next() else {
            return Err(unclear(located.line));
        };
        if name != located.header || properties.iter().count() != located.keys.len() {
            return Err(unclear(located.line));
        }
        let mut entries = Vec::with_capacity(located.keys.len());
        for ((key, value), place) in properties.iter().zip(&located.keys) {
            if key != place.key {
                return Err(unclear(place.line));
            }
            entries.push(Entry {
                key: key.to_owned(),
                value: value.to_owned(),
                line: place.line,
                broken: place.broken,
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
