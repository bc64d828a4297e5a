//! What the load generator is asked to do.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::LengthDistribution;

/// A whole run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct LoadPlan {
    /// Where requests go, in turn; after a refused connection the next one is tried.
    pub entries: Vec<SocketAddr>,
    /// Stand-ins that are asked at the end how often each request ran.
    pub standins: Vec<SocketAddr>,
    /// How long requests are sent, in seconds.
    pub seconds: f64,
    /// Seconds at the start whose requests aren't recorded.
    pub warmup: f64,
    /// Most requests of the whole run.
    pub max_requests: u64,
    /// Most requests in progress; those due beyond it count as unsent.
    pub max_open: usize,
    /// Whether connections are used again.
    pub keep_alive: bool,
    /// Whether the report has a line for each second.
    pub timeline: bool,
    /// Text in a refusal's head or body that says that the request wasn't run.
    #[serde(rename = "not-run")]
    pub not_run_marker: String,
    /// Seed of arrivals, lengths and prompts.
    pub seed: u64,
    /// The classes of requests.
    pub classes: Vec<LoadClass>,
}

impl Default for LoadPlan {
    fn default() -> LoadPlan {
        LoadPlan {
            entries: Vec::new(),
            standins: Vec::new(),
            seconds: 10.0,
            warmup: 0.0,
            max_requests: 100_000,
            max_open: 20_000,
            keep_alive: true,
            timeline: false,
            not_run_marker: "\"ran\":\"no\"".to_owned(),
            seed: 1,
            classes: Vec::new(),
        }
    }
}

/// The call that a class makes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// `POST /v1/chat/completions`.
    #[default]
    Chat,
    /// `POST /v1/completions`.
    Text,
    /// A call to a plain service.
    Call,
}

/// One class of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct LoadClass {
    /// Name in the report; no dots.
    pub name: String,
    /// Mean arrivals in a second (Poisson).
    pub rate: f64,
    /// Bearer key; empty for none.
    pub key: String,
    /// Further headers.
    pub headers: Vec<Header>,
    /// The call.
    #[serde(rename = "form")]
    pub kind: RequestKind,
    /// Path of a call to a plain service.
    pub path: String,
    /// Model.
    pub model: String,
    /// Prompt lengths, or body lengths of plain calls, in bytes.
    pub prompt: LengthDistribution,
    /// Different prompt prefixes; 0 makes every prompt unlike the others.
    pub prefixes: u32,
    /// Answer lengths in tokens. Only the engine's stand-in is told.
    pub output: LengthDistribution,
    /// The `max_tokens` that the request states; none: not stated.
    #[serde(rename = "cap")]
    pub max_tokens: Option<u32>,
    /// The `priority` that the request states; none: not stated.
    pub priority: Option<i64>,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Latency targets.
    pub targets: Targets,
    /// When the caller gives a request up as lost, in milliseconds.
    pub timeout_ms: u64,
    /// Callers who leave early.
    pub give_up: Option<GiveUp>,
    /// Times of another arrival rate.
    pub bursts: Vec<Burst>,
}

impl Default for LoadClass {
    fn default() -> LoadClass {
        LoadClass {
            name: "class".to_owned(),
            rate: 1.0,
            key: String::new(),
            headers: Vec::new(),
            kind: RequestKind::Chat,
            path: "/".to_owned(),
            model: "clara-8b".to_owned(),
            prompt: LengthDistribution::fixed(400),
            prefixes: 8,
            output: LengthDistribution::fixed(32),
            max_tokens: None,
            priority: None,
            stream: true,
            targets: Targets::default(),
            timeout_ms: 60_000,
            give_up: None,
            bursts: Vec::new(),
        }
    }
}

/// A request header.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Latency targets in milliseconds; those left out aren't asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Targets {
    /// From the time the request was due until its first token.
    pub first_ms: Option<u64>,
    /// Between tokens: 95 in 100 gaps of a request are no longer.
    pub between_ms: Option<u64>,
    /// From the time the request was due until the end of the answer.
    pub whole_ms: Option<u64>,
}

/// Callers who leave before the end.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GiveUp {
    /// Their share of the class.
    pub share: f64,
    /// When they leave, in milliseconds after the request was due.
    pub after_ms: u64,
}

/// A time of another arrival rate.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Burst {
    /// Start, in seconds.
    pub from: f64,
    /// End, in seconds.
    pub until: f64,
    /// What the rate is multiplied by.
    pub factor: f64,
}

impl LoadClass {
    /// Arrivals in a second at `time` seconds.
    pub(super) fn rate_at(&self, time: f64) -> f64 {
        let active = self
            .bursts
            .iter()
            .filter(|b| b.from <= time && time < b.until);
        active.fold(self.rate, |rate, burst| rate * burst.factor)
    }

    /// Tokens of an answer whose length was drawn, after the request's own limit.
    pub(super) fn expected_tokens(&self, sampled: u32) -> u32 {
        sampled.min(self.max_tokens.unwrap_or(u32::MAX))
    }

    /// The highest rate there ever is.
    pub(super) fn peak_rate(&self) -> f64 {
        let factors = self.bursts.iter().map(|burst| burst.factor.max(1.0));
        self.rate * factors.product::<f64>()
    }
}
