//! The configuration as it was read.

use std::sync::Arc;

/// The whole published text at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the whole.
    pub revision: u64,
    /// The teams' parts, sorted by team.
    pub parts: Vec<Part>,
    /// Teams whose part could not be read at this revision. Their earlier text, if there is one,
    /// stands in `parts`.
    pub lagging: Vec<String>,
}

impl Snapshot {
    /// Whether both hold the same texts, judged by revisions.
    pub fn same_as(&self, other: &Snapshot) -> bool {
        self.revision == other.revision
            && self.lagging == other.lagging
            && self.parts.len() == other.parts.len()
            && self
                .parts
                .iter()
                .zip(&other.parts)
                .all(|(a, b)| a.same_as(b))
    }
}

/// One team's part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The team.
    pub team: String,
    /// Revision of the whole at which the part last changed.
    pub revision: u64,
    /// The text.
    pub text: Arc<str>,
}

impl Part {
    fn same_as(&self, other: &Part) -> bool {
        self.revision == other.revision && self.team == other.team
    }
}
