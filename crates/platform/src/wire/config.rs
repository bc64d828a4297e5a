//! The configuration service's documents.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// Answer of `GET /v1/config` and of its watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigIndex {
    /// Revision of the whole text; grows with each change of any part.
    pub revision: u64,
    /// The teams' parts.
    #[serde(default)]
    pub parts: Vec<PartEntry>,
}

impl ConfigIndex {
    /// Reads the document.
    ///
    /// # Errors
    ///
    /// What is wrong with it: no JSON of this shape, or a team listed twice, of which no reader
    /// could say which entry counts.
    pub fn parse(text: &str) -> Result<ConfigIndex, String> {
        let index: ConfigIndex = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let mut teams = BTreeSet::new();
        for part in &index.parts {
            if !teams.insert(&*part.team) {
                return Err(format!("team {} is listed twice", part.team));
            }
        }
        Ok(index)
    }
}

/// One team's part in the index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEntry {
    /// The team.
    pub team: String,
    /// Revision of the whole at which the part last changed.
    pub revision: u64,
    /// Length of the part's text.
    #[serde(default)]
    pub bytes: u64,
}

/// Answer of `GET /v1/config/parts/TEAM`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartText {
    /// Revision of the part, from `x-revision`.
    pub revision: u64,
    /// Revision of the whole, from `x-text-revision`.
    pub text_revision: u64,
    /// The text.
    pub text: String,
}
