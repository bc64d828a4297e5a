//! Parsing the text format that [`Metrics::render`](crate::Metrics::render) writes.

use std::str::Chars;

use quick_error::quick_error;

/// The prefix of the metrics that are parsed; others are skipped.
const OWN_PREFIX: &str = "crocushold_";

quick_error! {
    /// Why a scrape couldn't be parsed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ExpositionError {
        /// The line with this number isn't of the form `name{label="value",...} number`.
        Malformed(line: usize) {
            display("line {line} isn't a metric")
        }
        /// The last line doesn't end with a line feed.
        Truncated {
            display("the text breaks off inside its last line")
        }
    }
}

/// A line of the text format with the value of a metric.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The name of the metric.
    pub name: String,
    /// The labels in the order of the line.
    pub labels: Vec<Label>,
    /// The value.
    pub value: f64,
}

/// A label of a sample.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Label {
    /// The name of the label.
    pub name: String,
    /// The unescaped value of the label.
    pub value: String,
}

impl Sample {
    /// The value of a label; empty if it is absent, as Prometheus defines it.
    pub fn label(&self, name: &str) -> &str {
        let label = self.labels.iter().find(|l| l.name == name);
        label.map_or("", |l| &l.value)
    }
}

/// The crocushold metrics of a scrape.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exposition {
    samples: Vec<Sample>,
}

impl Exposition {
    /// Parses the text format. Comments and metrics of other programs are skipped.
    ///
    /// # Errors
    ///
    /// Fails on the first malformed line of a crocushold metric, and on a last line without a line
    /// feed. A text truncated by a lost connection could otherwise show `12` in place of `1234`.
    pub fn parse(text: &str) -> Result<Exposition, ExpositionError> {
        if !text.is_empty() && !text.ends_with('\n') {
            return Err(ExpositionError::Truncated);
        }
        let mut samples = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if line.starts_with(OWN_PREFIX) {
                let sample = parse_sample(line);
                samples.push(sample.ok_or(ExpositionError::Malformed(index + 1))?);
            }
        }
        Ok(Exposition { samples })
    }

    /// The samples of the metric `name`.
    pub fn family<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Sample> {
        self.samples.iter().filter(move |s| s.name == name)
    }

    /// The value of a metric without labels.
    pub fn value(&self, name: &str) -> Option<f64> {
        self.family(name).next().map(|s| s.value)
    }
}

fn parse_sample(line: &str) -> Option<Sample> {
    let end = line.find(['{', ' '])?;
    let (name, rest) = line.split_at(end);
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => parse_labels(rest)?,
        None => (Vec::new(), rest),
    };
    let mut fields = rest.split_ascii_whitespace();
    let value = fields.next()?.parse().ok()?;
    Some(Sample {
        name: name.to_owned(),
        labels,
        value,
    })
}

fn parse_labels(text: &str) -> Option<(Vec<Label>, &str)> {
    let mut labels = Vec::new();
    let mut rest = text;
    loop {
        if let Some(after) = rest.strip_prefix('}') {
            return Some((labels, after));
        }
        let (name, after) = rest.split_once("=\"")?;
        let (value, after) = parse_value(after)?;
        labels.push(Label {
            name: name.to_owned(),
            value,
        });
        rest = after.strip_prefix(',').unwrap_or(after);
    }
}

/// Parses an escaped value up to its closing quote, and returns it with the rest of the text.
fn parse_value(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.chars();
    loop {
        match chars.next()? {
            '"' => return Some((value, chars.as_str())),
            '\\' => value.push(parse_escape(&mut chars)?),
            c => value.push(c),
        }
    }
}

fn parse_escape(chars: &mut Chars<'_>) -> Option<char> {
    match chars.next()? {
        'n' => Some('\n'),
        c @ ('\\' | '"') => Some(c),
        _ => None,
    }
}
