//! Takes a section's entries one key at a time and collects what is wrong with them.

use crate::finding::Finding;
use crate::finding::Findings;
use crate::finding::Severity;
use crate::source::Entry;
use crate::source::Section;
use crate::units::ValueError;

/// The entries of a section that are still to be read.
pub(crate) struct Fields<'a> {
    team: &'a str,
    section: &'a Section,
    taken: Vec<&'static str>,
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
            taken: Vec::new(),
            findings,
        }
    }

    /// Reads the value of `key`; nothing when it is left out or wrong.
    pub(crate) fn take<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        self.taken.push(key);
        let section = self.section;
        let mut entries = section.entries.iter().filter(|e| e.key == key);
        let first = entries.next()?;
        for repeat in entries {
            let message = format!(
                "the key is already on line {}; write it once, with a comma between several values",
                first.line
            );
            self.error(repeat.line, key, message);
        }
        if first.broken {
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

    /// Like [`Fields::take`], with a finding when the key is left out.
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

    /// The line of a key, or of the section where it has no such key.
    pub(crate) fn line(&self, key: &str) -> usize {
        let entry = self.section.entries.iter().find(|e| e.key == key);
        entry.map_or(self.section.line, |e| e.line)
    }

    /// Adds a finding about a key.
    pub(crate) fn reject(&mut self, key: &str, message: impl Into<String>) {
        self.error(self.line(key), key, message.into());
    }

    /// Reports every entry that nothing has read.
    pub(crate) fn finish(mut self) {
        let section = self.section;
        let unknown = |e: &&Entry| !e.broken && !self.taken.contains(&e.key.as_str());
        let unknown: Vec<&Entry> = section.entries.iter().filter(unknown).collect();
        for entry in unknown {
            let message = format!(
                "the key is unknown; write one of: {}",
                self.taken.join(", ")
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
