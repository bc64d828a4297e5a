//! Reads one INI text into sections whose entries carry their lines.

use ini::Ini;
use ini::ParseOption;

use crate::finding::Finding;
use crate::finding::Severity;
use crate::locate::Lines;
use crate::locate::SectionLines;
use crate::locate::locate;

/// One `key = value`.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

/// One section: the kind and the name of its header, and its entries in order.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    pub(crate) header: String,
    pub(crate) line: usize,
    pub(crate) entries: Vec<Entry>,
}

/// Parses a text whose first line has the number `first`.
///
/// # Errors
///
/// Findings for every line that is no INI.
pub(crate) fn parse(text: &str, first: usize, team: &str) -> Result<Vec<Section>, Vec<Finding>> {
    let lines = locate(text, first);
    if !lines.bad.is_empty() {
        return Err(bad_lines(&lines, team));
    }
    // Neither quotes nor escapes: a value is what stands on the line.
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(text, options).map_err(|error| {
        let line = first + error.line.saturating_sub(1);
        vec![syntax_error(team, line, "", &error.msg)]
    })?;
    join(&ini, lines.sections, team)
}

/// Gives each section and key that the library read the line that the locator found.
///
/// The two readers must agree on every section and key; where they don't, the text is rejected at
/// that place. Otherwise a finding could name a wrong line, or a key could be read that its author
/// doesn't see as one.
fn join(ini: &Ini, lines: Vec<SectionLines>, team: &str) -> Result<Vec<Section>, Vec<Finding>> {
    let mut read = ini.iter().filter(|(name, _)| name.is_some());
    let mut sections = Vec::with_capacity(lines.len());
    for located in lines {
        let unclear = |line| {
            let message = "the line can't be read; write [KIND NAME] or KEY = VALUE";
            vec![syntax_error(team, line, &located.header, message)]
        };
        let Some((Some(name), properties)) = read.next() else {
            return Err(unclear(located.line));
        };
        if name != located.header || properties.len() != located.keys.len() {
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

fn bad_lines(lines: &Lines, team: &str) -> Vec<Finding> {
    let bad = lines.bad.iter();
    bad.map(|bad| syntax_error(team, bad.line, &bad.section, bad.message))
        .collect()
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
