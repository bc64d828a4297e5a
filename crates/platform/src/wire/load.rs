//! Load reports of backend servers.

use serde::Deserialize;
use serde::Serialize;

/// Answer of `GET /load`; it lags.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// When it was taken, on the server's own clock.
    #[serde(default)]
    pub at_ms: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for a place in it.
    #[serde(default)]
    pub waiting: u32,
    /// Most requests that run at once.
    #[serde(default)]
    pub batch_limit: u32,
    /// Tokens generated a second.
    #[serde(default)]
    pub tokens_per_second: f64,
    /// Free share of the KV cache, 0 to 1.
    #[serde(default)]
    pub kv_free: f64,
    /// The models that are loaded.
    #[serde(default)]
    pub models: Vec<String>,
    /// The role that the engine was ordered to take.
    #[serde(default)]
    pub role: EngineRole,
    /// Highest fencing number that the engine has seen.
    #[serde(default)]
    pub fence: u64,
}

impl LoadReport {
    /// Reads the document.
    ///
    /// # Errors
    ///
    /// What is wrong with it: no JSON of this shape, or a rate or share that is no ordinary number.
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

/// What an engine works on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Prompts only.
    Prefill,
    /// Tokens only.
    Decode,
    /// Both.
    #[default]
    Both,
    /// A role that this version doesn't know.
    #[serde(other)]
    Other,
}
