//! Checks the head section of an edition, and limits and duplicates of its other sections.

use std::collections::HashMap;

use crate::decl::Location;
use crate::fields::Fields;
use crate::finding::Findings;
use crate::source::Section;
use crate::units;

/// The format that this version supports.
const FORMAT: u32 = 1;

/// Maximum number of services in an edition.
const MAX_SERVICES: usize = 64;

/// Maximum number of classes in an edition. Each class is a label value of the metrics.
const MAX_CLASSES: usize = 64;

/// Maximum number of sections of any other kind in an edition.
const MAX_SECTIONS: usize = 10_000;

/// Whether the head section has a format that this version supports.
///
/// The rest of an edition with an unknown format isn't read. A later format may change the meaning
/// of any line, and two program versions must not interpret the same edition differently.
pub(super) fn read_head(team: &str, head: &Section, findings: &mut Findings) -> bool {
    let mut fields = Fields::new(team, head, findings);
    let format = fields.require("format", "1", |v| units::count(v, 1, u32::MAX));
    let is_known = format == Some(FORMAT);
    if format.is_some() && !is_known {
        fields.reject("format", "the format is unknown; write format = 1");
        return false;
    }
    fields.finish();
    is_known
}

/// Adds an error for each duplicate section.
pub(super) fn report_duplicates(team: &str, sections: &[Section], findings: &mut Findings) {
    let mut seen: HashMap<(&str, &str), usize> = HashMap::new();
    for section in sections {
        let (kind, name) = section.header.split_once(' ').unwrap_or_default();
        if let Some(line) = seen.insert((kind, name.trim()), section.line) {
            let message = format!("the section is already on line {line}; write it once");
            findings.push(Location::new(team, section).error("", message));
        }
    }
}

/// Whether the number of sections of each kind is within its limit, which bounds the time of the
/// checks.
pub(super) fn is_bounded(team: &str, sections: &[Section], findings: &mut Findings) -> bool {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for section in sections {
        let kind = section.header.split(' ').next().unwrap_or_default();
        let count = counts.entry(kind).or_default();
        let limit = match kind {
            "service" => MAX_SERVICES,
            "class" => MAX_CLASSES,
            _ => MAX_SECTIONS,
        };
        *count += 1;
        if *count > limit {
            let message = format!("there are too many such sections; write at most {limit}");
            findings.push(Location::new(team, section).error("", message));
            return false;
        }
    }
    true
}
