//! The instance list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;
use serde_json::Value;

/// Answer of `GET /v1/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct InstanceList {
    /// Revision of the list.
    pub revision: u64,
    /// The entries that could be read.
    pub instances: Vec<InstanceEntry>,
    /// The entries that could not.
    #[serde(skip)]
    pub misfits: Vec<MalformedEntry>,
}

/// One listed instance or backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceEntry {
    /// Name.
    pub id: String,
    /// What it is.
    pub role: InstanceRole,
    /// The service that a backend server belongs to; empty for an entry instance.
    #[serde(default)]
    pub service: String,
    /// Availability zone.
    #[serde(default)]
    pub zone: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where an entry instance takes its peers' connections.
    #[serde(default, deserialize_with = "address_or_none")]
    pub peer_address: Option<SocketAddr>,
    /// Whether it stays.
    pub state: InstanceState,
}

/// What a listed process is.
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

/// Whether a listed process stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It stays.
    Live,
    /// It gets no new work.
    Leaving,
    /// A state that this version doesn't know; treated like leaving, the side that loses nothing.
    #[serde(other)]
    Other,
}

/// An entry that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedEntry {
    /// Its position in the list, from 0.
    pub index: usize,
    /// What is wrong with it.
    pub cause: String,
}

/// The list before its entries are read one by one.
#[derive(Deserialize)]
struct RawList {
    revision: u64,
    #[serde(default)]
    instances: Vec<Value>,
}

impl InstanceList {
    /// Reads the document.
    ///
    /// Entries are read one by one: a single malformed entry must not hide all the other instances.
    ///
    /// # Errors
    ///
    /// What is wrong when the document as a whole isn't JSON of this shape.
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

/// Reads an address; an empty text is none.
fn address_or_none<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error> {
    let text: Option<String> = Option::deserialize(deserializer)?;
    match text.as_deref() {
        None | Some("") => Ok(None),
        Some(text) => text.parse().map(Some).map_err(D::Error::custom),
    }
}
