//! Load reports of backend servers.

use serde::Deserialize;
use serde::Serialize;

/// Response to `GET /load`. The figures lag behind the server's actual load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// Time of the measurement on the server's own clock, in milliseconds.
    #[serde(default)]
    pub at_ms: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting to join the batch.
    #[serde(default)]
    pub waiting: u32,
    /// Maximum number of requests in the batch.
    #[serde(default)]
    pub batch_limit: u32,
    /// Tokens generated per second.
    #[serde(default)]
    pub tokens_per_second: f64,
    /// Free fraction of the KV cache, from 0 to 1.
    #[serde(default)]
    pub kv_free: f64,
    /// Loaded models.
    #[serde(default)]
    pub models: Vec<String>,
    /// Role that the engine was last ordered to take.
    #[serde(default)]
    pub role: EngineRole,
    /// Highest fencing token that the engine has seen.
    #[serde(default)]
    pub fence: u64,
}

impl LoadReport {
    /// Parses the document.
    ///
    /// # Errors
    ///
    /// The document isn't JSON of this schema, or a rate or fraction is out of range.
    pub fn parse(text: &str) -> Result<LoadReport, String> {
        let report: LoadReport = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if report.tokens_per_second < 0.0 {
            return Err("tokens-per-second is negative".into());
        }
        if !(0.0..=1.0).contains(&report.kv_free) {
            return Err("kv-free is no share".into());
        }
        Ok(report)
    }
}

/// The inference phases that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Prefill only: processes prompts.
    Prefill,
    /// Decode only: generates tokens.
    Decode,
    /// Prefill and decode.
    #[default]
    Both,
    /// A role that this version doesn't know.
    #[serde(other)]
    Other,
}
