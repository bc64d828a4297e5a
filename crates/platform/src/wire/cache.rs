//! Prefix cache events of engines. They arrive late, and some are missing.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// Response to `GET /cache-events?after=SEQ`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the engine's newest event.
    pub last: u64,
    /// The events that the engine still holds; some may be missing.
    #[serde(default)]
    pub events: Vec<CacheEvent>,
}

impl CacheEvents {
    /// Parses the document.
    ///
    /// # Errors
    ///
    /// The parse error.
    pub fn parse(text: &str) -> Result<CacheEvents, String> {
        serde_json::from_str(text).map_err(|e| e.to_string())
    }
}

/// A change to an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub seq: u64,
    /// Type of the change.
    pub kind: CacheKind,
    /// 64-bit XXH3 hash of the first 256 bytes of the prompt text.
    #[serde(serialize_with = "to_hex", deserialize_with = "from_hex")]
    pub prefix: u64,
}

/// The type of a cache change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheKind {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
    /// A type that this version doesn't know.
    #[serde(other)]
    Other,
}

fn to_hex<S: Serializer>(prefix: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{prefix:016x}"))
}

fn from_hex<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16).map_err(D::Error::custom)
}
