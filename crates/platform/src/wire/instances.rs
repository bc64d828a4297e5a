//! The instance list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;
use serde_json::Value;

/// Response to `GET /v1/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct InstanceList {
    /// Revision of the list.
    pub revision: u64,
    /// The entries that could be parsed.
    pub instances: Vec<InstanceEntry>,
    /// The entries that could not be parsed.
    #[serde(skip)]
    pub misfits: Vec<MalformedEntry>,
}

/// One listed instance or backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceEntry {
    /// Unique name.
    pub id: String,
    /// Role of the process.
    pub role: InstanceRole,
    /// The service that a backend server belongs to; empty for an entry instance.
    #[serde(default)]
    pub service: String,
    /// Availability zone.
    #[serde(default)]
    pub zone: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for connections from peers, of an entry instance.
    #[serde(default, deserialize_with = "address_or_none")]
    pub peer_address: Option<SocketAddr>,
    /// Lifecycle state.
    pub state: InstanceState,
}

/// The role of a listed process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceRole {
    /// An instance of crocushold.
    Entry,
    /// A backend server.
    Server,
    /// A role that this version doesn't know.
    #[serde(other)]
    Other,
}

/// The lifecycle state of a listed process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// In use.
    Live,
    /// About to leave; gets no new work.
    Leaving,
    /// A state that this version doesn't know. Treated like [`InstanceState::Leaving`], since
    /// sending no new work is safe.
    #[serde(other)]
    Other,
}

/// An entry that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedEntry {
    /// Position in the list, from 0.
    pub index: usize,
    /// The parse error.
    pub cause: String,
}

/// The list with unparsed entries.
#[derive(Deserialize)]
struct RawList {
    revision: u64,
    #[serde(default)]
    instances: Vec<Value>,
}

impl InstanceList {
    /// Parses the document.
    ///
    /// Entries are parsed one by one, so that a malformed entry doesn't invalidate the others.
    ///
    /// # Errors
    ///
    /// The parse error, if the document as a whole isn't JSON of this schema.
    pub fn parse(text: &str) -> Result<InstanceList, String> {
        let raw: RawList = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let mut list = InstanceList {
            revision: raw.revision,
            ..InstanceList::default()
        };
        for (index, value) in raw.instances.into_iter().enumerate() {
            match serde_json::from_value(value) {
                Ok(entry) => list.instances.push(entry),
                Err(e) => list.misfits.push(MalformedEntry {
                    index,
                    cause: e.to_string(),
                }),
            }
        }
        Ok(list)
    }
}

/// Parses an address; an empty string is `None`.
fn address_or_none<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error> {
    let text: Option<String> = Option::deserialize(deserializer)?;
    match text.as_deref() {
        None | Some("") => Ok(None),
        Some(text) => text.parse().map(Some).map_err(D::Error::custom),
    }
}
