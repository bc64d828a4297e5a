//! Finds the lines of sections and keys, which `rust-ini` doesn't report.

/// A key and its line.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct KeyLine {
    pub(crate) key: String,
    pub(crate) line: usize,
}

/// A section's header, its line and its keys in order.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct SectionLines {
    pub(crate) header: String,
    pub(crate) line: usize,
    pub(crate) keys: Vec<KeyLine>,
}

/// A line that is neither a section, a key, a comment nor blank.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct BadLine {
    pub(crate) line: usize,
    pub(crate) section: String,
    pub(crate) message: &'static str,
}

/// Where everything in one INI text stands.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    pub(crate) sections: Vec<SectionLines>,
    pub(crate) bad: Vec<BadLine>,
}

const NO_SEPARATOR: &str = "the line has no '='; write KEY = VALUE, or start a comment with #";
const NO_BRACKET: &str = "the section has no closing bracket; write [KIND NAME] alone on its line";
const INDENTED: &str = "the comment is indented; start it in the first column";
const BACKSLASH: &str = "the line ends with a backslash; write the value on one line";
const NO_SECTION: &str = "the key stands before any section; move it below one";

/// Indexes a text whose first line has the number `first`.
pub(crate) fn locate(text: &str, first: usize) -> Lines {
    let mut lines = Lines::default();
    for (offset, raw) in text.lines().enumerate() {
        lines.add(raw, first + offset);
    }
    lines
}

impl Lines {
    fn add(&mut self, raw: &str, line: usize) {
        let text = raw.trim();
        if text.is_empty() || raw.starts_with(['#', ';']) {
            return;
        }
        // The library joins such a line with the next one, which would hide a whole key.
        if text.ends_with('\\') {
            return self.reject(line, BACKSLASH);
        }
        if text.starts_with(['#', ';']) {
            return self.reject(line, INDENTED);
        }
        if let Some(rest) = text.strip_prefix('[') {
            return self.add_section(rest, line);
        }
        self.add_key(text, line);
    }

    fn add_section(&mut self, rest: &str, line: usize) {
        let Some(header) = rest.strip_suffix(']') else {
            return self.reject(line, NO_BRACKET);
        };
        self.sections.push(SectionLines {
            header: header.trim().to_owned(),
            line,
            keys: Vec::new(),
        });
    }

    fn add_key(&mut self, text: &str, line: usize) {
        // The library takes the next separator it meets, on whatever line that stands.
        let Some(end) = text.find(['=', ':']) else {
            return self.reject(line, NO_SEPARATOR);
        };
        let Some(section) = self.sections.last_mut() else {
            return self.reject(line, NO_SECTION);
        };
        let key = text[..end].trim_end().to_owned();
        section.keys.push(KeyLine { key, line });
    }

    fn reject(&mut self, line: usize, message: &'static str) {
        let section = self.sections.last().map(|s| s.header.clone());
        self.bad.push(BadLine {
            line,
            section: section.unwrap_or_default(),
            message,
        });
    }
}
