//! Finds the line numbers of sections and keys, which `rust-ini` doesn't report.

use crate::finding::MAX_FINDINGS;

/// A key and its line number.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct KeyLine {
    pub(crate) key: String,
    pub(crate) line: usize,
    /// The line has no separator, and the key is assumed to be its first word.
    pub(crate) malformed: bool,
}

/// A section's header and line number, and its keys in order.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct SectionLines {
    pub(crate) header: String,
    pub(crate) line: usize,
    pub(crate) keys: Vec<KeyLine>,
}

/// A line that is neither a section, a key, a comment nor blank.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct MalformedLine {
    pub(crate) line: usize,
    pub(crate) section: String,
    pub(crate) message: &'static str,
}

/// The line numbers of the sections and keys of an INI text.
#[derive(Debug, Default)]
pub(crate) struct LineIndex {
    /// The text with each malformed line repaired or emptied, so that it doesn't hide other errors.
    /// Line numbers are unchanged.
    pub(crate) cleaned: String,
    pub(crate) sections: Vec<SectionLines>,
    pub(crate) malformed: Vec<MalformedLine>,
}

const NO_SEPARATOR: &str = "the line has no '='; write KEY = VALUE, or start a comment with #";
const NO_BRACKET: &str = "the section has no closing bracket; write [KIND NAME] alone on its line";
const INDENTED: &str = "the comment is indented; start it in the first column";
const BACKSLASH: &str = "the line ends with a backslash; write the value on one line";
const CONTROL: &str = "the line holds a control character; delete it";
const NO_SECTION: &str = "the key stands before any section; move it below one";

/// Indexes a text whose first line has the number `first_line`.
pub(crate) fn index_lines(text: &str, first_line: usize) -> LineIndex {
    let mut index = LineIndex::default();
    for (offset, raw) in text.lines().enumerate() {
        index.add_line(raw, first_line + offset);
        index.cleaned.push('\n');
    }
    index
}

impl LineIndex {
    fn add_line(&mut self, raw: &str, line: usize) {
        // The INI library takes a lone carriage return for a line break, which editors don't show.
        if raw.chars().any(|c| c.is_control() && c != '\t') {
            return self.reject(line, CONTROL);
        }
        if raw.starts_with(['#', ';']) {
            return;
        }
        let mut text = raw.trim();
        // The INI library joins such a line with the next one, which would hide a key.
        if text.ends_with('\\') {
            self.reject(line, BACKSLASH);
            text = text.trim_end_matches('\\').trim_end();
        }
        match text.chars().next() {
            None => {}
            Some('#' | ';') => self.reject(line, INDENTED),
            Some('[') => self.add_section(text, line),
            Some(_) => self.add_key(text, line),
        }
    }

    fn add_section(&mut self, text: &str, line: usize) {
        let header = text.trim_start_matches('[');
        let closed = header.strip_suffix(']').filter(|h| !h.contains(']'));
        if closed.is_none() {
            self.reject(line, NO_BRACKET);
        }
        let header = header.split(']').next().unwrap_or_default().trim();
        self.cleaned.push_str(&format!("[{header}]"));
        self.sections.push(SectionLines {
            header: header.to_owned(),
            line,
            keys: Vec::new(),
        });
    }

    fn add_key(&mut self, text: &str, line: usize) {
        if self.sections.is_empty() {
            return self.reject(line, NO_SECTION);
        }
        // The INI library would use the next separator, even on a later line.
        let end = text.find(['=', ':']);
        if end.is_none() {
            self.reject(line, NO_SEPARATOR);
        }
        let word = text.split_whitespace().next().unwrap_or_default();
        let key = end.map_or(word, |end| text[..end].trim_end()).to_owned();
        match end {
            Some(_) => self.cleaned.push_str(text),
            None => self.cleaned.push_str(&format!("{key} =")),
        }
        let malformed = end.is_none();
        if let Some(section) = self.sections.last_mut() {
            section.keys.push(KeyLine {
                key,
                line,
                malformed,
            });
        }
    }

    fn reject(&mut self, line: usize, message: &'static str) {
        if self.malformed.len() == MAX_FINDINGS {
            return;
        }
        let section = self.sections.last().map(|s| s.header.clone());
        self.malformed.push(MalformedLine {
            line,
            section: section.unwrap_or_default(),
            message,
        });
    }
}
