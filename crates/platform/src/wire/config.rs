//! Documents of the configuration service.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// Response to `GET /v1/config` and to its watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigIndex {
    /// Revision of the whole text. Each change to a part increases it.
    pub revision: u64,
    /// The teams' parts.
    #[serde(default)]
    pub parts: Vec<PartEntry>,
}

impl ConfigIndex {
    /// Parses the document.
    ///
    /// # Errors
    ///
    /// The document isn't JSON of this schema, or it lists a team twice, which makes it ambiguous
    /// which entry applies.
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
    /// Revision of the whole text at which the part last changed.
    pub revision: u64,
    /// Length of the part, in bytes.
    #[serde(default)]
    pub bytes: u64,
}

/// Response to `GET /v1/config/parts/TEAM`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartText {
    /// Revision of the part, from `x-revision`.
    pub revision: u64,
    /// Revision of the whole text, from `x-text-revision`.
    pub text_revision: u64,
    /// The text.
    pub text: String,
}
