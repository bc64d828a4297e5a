//! The plan of a load test.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::LengthDistribution;

/// The plan of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct LoadPlan {
    /// Addresses that requests are sent to, round-robin; after a failed connection the next one.
    pub entries: Vec<SocketAddr>,
    /// Stand-ins whose run counts are read at the end.
    pub standins: Vec<SocketAddr>,
    /// Duration in which requests are sent, in seconds.
    pub seconds: f64,
    /// Duration at the start whose requests aren't recorded, in seconds.
    pub warmup: f64,
    /// Maximum number of requests in the run.
    pub max_requests: u64,
    /// Maximum number of requests in flight; requests due beyond it count as unsent.
    pub max_open: usize,
    /// Whether connections are reused.
    pub keep_alive: bool,
    /// Whether the report contains counts for each second.
    pub timeline: bool,
    /// Text in the head or body of a refusal that states that the request wasn't run.
    #[serde(rename = "not-run")]
    pub not_run_marker: String,
    /// Seed of arrivals, lengths and prompts.
    pub seed: u64,
    /// Request classes.
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

/// The kind of request that a class sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// `POST /v1/chat/completions`.
    #[default]
    Chat,
    /// `POST /v1/completions`.
    Text,
    /// A request to a plain service.
    Call,
}

/// A class of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct LoadClass {
    /// Name in the report; no dots.
    pub name: String,
    /// Mean rate of the Poisson arrivals, per second.
    pub rate: f64,
    /// API key sent as a bearer token; empty for none.
    pub key: String,
    /// Additional headers.
    pub headers: Vec<Header>,
    /// Kind of the requests.
    #[serde(rename = "form")]
    pub kind: RequestKind,
    /// Path of requests to a plain service.
    pub path: String,
    /// Name of the model.
    pub model: String,
    /// Lengths of prompts, or of bodies sent to plain services, in bytes.
    pub prompt: LengthDistribution,
    /// Number of distinct prompt prefixes; with 0, each prompt has its own.
    pub prefixes: u32,
    /// Response lengths in tokens, sent in a field that only the engine reads.
    pub output: LengthDistribution,
    /// Value of `max_tokens` in the request, if any.
    #[serde(rename = "cap")]
    pub max_tokens: Option<u32>,
    /// Value of `priority` in the request, if any.
    pub priority: Option<i64>,
    /// Whether responses are streamed.
    pub stream: bool,
    /// Latency targets.
    pub targets: Targets,
    /// Time after which a request counts as timed out, in milliseconds.
    pub timeout_ms: u64,
    /// Clients that disconnect early.
    pub give_up: Option<GiveUp>,
    /// Periods with a different arrival rate.
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

/// Latency targets in milliseconds; absent targets aren't checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Targets {
    /// Time from the scheduled start to the first token.
    pub first_ms: Option<u64>,
    /// Time between tokens, met by 95% of the gaps of a request.
    pub between_ms: Option<u64>,
    /// Time from the scheduled start to the end of the response.
    pub whole_ms: Option<u64>,
}

/// Clients that disconnect before the end.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GiveUp {
    /// Share of the class's requests.
    pub share: f64,
    /// Time from the scheduled start to the disconnect, in milliseconds.
    pub after_ms: u64,
}

/// A period with a different arrival rate.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Burst {
    /// Start of the period, in seconds.
    pub from: f64,
    /// End of the period, in seconds.
    pub until: f64,
    /// Factor on the rate.
    pub factor: f64,
}

impl LoadClass {
    /// Returns the arrival rate at `time`, in seconds.
    pub(super) fn rate_at(&self, time: f64) -> f64 {
        let active = self
            .bursts
            .iter()
            .filter(|b| b.from <= time && time < b.until);
        active.fold(self.rate, |rate, burst| rate * burst.factor)
    }

    /// Returns the expected number of tokens for a sampled length, limited by `max_tokens`.
    pub(super) fn expected_tokens(&self, sampled: u32) -> u32 {
        sampled.min(self.max_tokens.unwrap_or(u32::MAX))
    }

    /// Returns an upper bound of the arrival rate.
    pub(super) fn peak_rate(&self) -> f64 {
        let factors = self.bursts.iter().map(|burst| burst.factor.max(1.0));
        self.rate * factors.product::<f64>()
    }
}
