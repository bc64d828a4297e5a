//! Checks an edition as a whole before its sections are read.

use std::collections::HashMap;

use crate::decl::Place;
use crate::fields::Fields;
use crate::finding::Findings;
use crate::source::Section;
use crate::units;

/// The one format that this version knows.
const FORMAT: u32 = 1;

/// The most services in an edition.
const MAX_SERVICES: usize = 64;

/// The most classes in an edition. Each is a label of the metrics.
const MAX_CLASSES: usize = 64;

/// The most sections of any other kind in an edition.
const MAX_SECTIONS: usize = 10_000;

/// Whether the head states a format that this version knows.
///
/// Nothing after an unknown format is looked at: a later format may give any line another meaning,
/// and two program versions must not accept the same edition in two ways.
pub(super) fn read_head(team: &str, head: &Section, findings: &mut Findings) -> bool {
    let mut fields = Fields::new(team, head, findings);
    let format = fields.require("format", "1", |v| units::count(v, 1, u32::MAX));
    let known = format == Some(FORMAT);
    if format.is_some() && !known {
        fields.reject("format", "the format is unknown; write format = 1");
        return false;
    }
    fields.finish();
    known
}

/// Reports every section that stands twice.
pub(super) fn report_repeats(team: &str, sections: &[Section], findings: &mut Findings) {
    let mut seen: HashMap<(&str, &str), usize> = HashMap::new();
    for section in sections {
        let (kind, name) = section.header.split_once(' ').unwrap_or_default();
        if let Some(line) = seen.insert((kind, name.trim()), section.line) {
            let message = format!("the section is already on line {line}; write it once");
            findings.push(Place::new(team, section).error("", message));
        }
    }
}

/// Whether there are no more sections of a kind than the checks can look at in a bounded time.
pub(super) fn is_bounded(team: &str, sections: &[Section], findings: &mut Findings) -> bool {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for section in sections {
        let kind = section.header.split(' ').next().unwrap_or_default();
        let count = counts.entry(kind).or_default();
        let bound = match kind {
            "service" => MAX_SERVICES,
            "class" => MAX_CLASSES,
            _ => MAX_SECTIONS,
        };
        *count += 1;
        if *count > bound {
            let message = format!("there are too many such sections; write at most {bound}");
            findings.push(Place::new(team, section).error("", message));
            return false;
        }
    }
    true
}
