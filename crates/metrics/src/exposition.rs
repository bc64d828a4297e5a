//! Reading back the lines that [`Metrics::render`](crate::Metrics::render) writes.

use std::str::Chars;

use quick_error::quick_error;

/// Prefix of the metrics that are read; others are skipped.
const OWN_PREFIX: &str = "crocushold_";

quick_error! {
    /// A scrape that can't be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ExpositionError {
        /// The line isn't of the form `name{label="value",...} number`.
        Malformed(line: usize) {
            display("line {line} isn't a metric")
        }
        /// The last line has no end.
        Truncated {
            display("the text breaks off inside its last line")
        }
    }
}

/// One metric line.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Name of the metric.
    pub name: String,
    /// Labels in the order of the line.
    pub labels: Vec<Label>,
    /// The value.
    pub value: f64,
}

/// One label of a sample.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Label {
    /// Name of the label.
    pub name: String,
    /// Its unescaped value.
    pub value: String,
}

impl Sample {
    /// The value of a label; empty when it is absent, as Prometheus defines it.
    pub fn label(&self, name: &str) -> &str {
        let label = self.labels.iter().find(|l| l.name == name);
        label.map_or("", |l| &l.value)
    }
}

/// The crocushold metrics of one scrape.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exposition {
    samples: Vec<Sample>,
}

impl Exposition {
    /// Reads the text format; comments and metrics of other programs are skipped.
    ///
    /// # Errors
    ///
    /// The first own line that is malformed, or a last line without an end: a text cut short by a
    /// broken connection must not pass `12` off for `1234`.
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

/// Reads an escaped value up to its closing quote, and returns what stands behind it.
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
