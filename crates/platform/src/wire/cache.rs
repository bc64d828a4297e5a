//! Prefix-cache events of engines; they come late and with gaps.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// Answer of `GET /cache-events?after=SEQ`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number of the newest event that the engine has had.
    pub last: u64,
    /// The events that it still holds, some missing.
    #[serde(default)]
    pub events: Vec<CacheEvent>,
}

impl CacheEvents {
    /// Reads the document.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn parse(text: &str) -> Result<CacheEvents, String> {
        serde_json::from_str(text).map_err(|e| e.to_string())
    }
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub seq: u64,
    /// What happened.
    pub kind: CacheKind,
    /// 64-bit XXH3 hash of the first 256 bytes of the prompt text.
    #[serde(serialize_with = "to_hex", deserialize_with = "from_hex")]
    pub prefix: u64,
}

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheKind {
    /// It is in the cache.
    Stored,
    /// It is no longer.
    Evicted,
    /// An event that this version doesn't know.
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
