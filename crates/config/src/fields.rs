//! Reads a section's entries by key and collects findings about them.

use crate::finding::Finding;
use crate::finding::Findings;
use crate::finding::Severity;
use crate::source::Entry;
use crate::source::Section;
use crate::units::ValueError;

/// Reads the entries of one section and records which keys are known.
pub(crate) struct Fields<'a> {
    team: &'a str,
    section: &'a Section,
    known_keys: Vec<&'static str>,
    findings: &'a mut Findings,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(
        team: &'a str,
        section: &'a Section,
        findings: &'a mut Findings,
    ) -> Fields<'a> {
        Fields {
            team,
            section,
            known_keys: Vec::new(),
            findings,
        }
    }

    /// Parses the value of `key`. Returns `None` if the key is missing, or if its value is invalid,
    /// which becomes a finding.
    pub(crate) fn take<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        self.known_keys.push(key);
        let section = self.section;
        let mut entries = section.entries.iter().filter(|e| e.key == key);
        let first = entries.next()?;
        for duplicate in entries {
            let message = format!(
                "the key is already on line {}; write it once, with a comma between several values",
                first.line
            );
            self.error(duplicate.line, key, message);
        }
        if first.malformed {
            return None;
        }
        let result = match first.value.as_str() {
            "" => Err(ValueError::Empty),
            value => read(value),
        };
        result
            .map_err(|error| self.error(first.line, key, error.to_string()))
            .ok()
    }

    /// Like [`Fields::take`], with a finding if the key is missing.
    pub(crate) fn require<T>(
        &mut self,
        key: &'static str,
        example: &str,
        read: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        if !self.has(key) {
            let message = format!("the key is missing; write {key} = {example}");
            self.error(self.section.line, key, message);
        }
        self.take(key, read)
    }

    /// Whether the section has the key.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.section.entries.iter().any(|e| e.key == key)
    }

    /// Returns the line of a key, or of the section if it doesn't have the key.
    pub(crate) fn line(&self, key: &str) -> usize {
        let entry = self.section.entries.iter().find(|e| e.key == key);
        entry.map_or(self.section.line, |e| e.line)
    }

    /// Adds an error about a key.
    pub(crate) fn reject(&mut self, key: &str, message: impl Into<String>) {
        self.error(self.line(key), key, message.into());
    }

    /// Adds an error for each entry whose key is unknown.
    pub(crate) fn finish(mut self) {
        let section = self.section;
        let unknown = |e: &&Entry| !e.malformed && !self.known_keys.contains(&e.key.as_str());
        let unknown: Vec<&Entry> = section.entries.iter().filter(unknown).collect();
        for entry in unknown {
            let message = format!(
                "the key is unknown; write one of: {}",
                self.known_keys.join(", ")
            );
            self.error(entry.line, &entry.key, message);
        }
    }

    fn error(&mut self, line: usize, key: &str, message: String) {
        self.findings.push(Finding {
            team: self.team.to_owned(),
            line,
            section: self.section.header.clone(),
            key: key.to_owned(),
            severity: Severity::Error,
            message,
        });
    }
}
