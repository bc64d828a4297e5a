//! Decoded request and response headers of a deployment.
//!
//! Deployments differ in how callers describe a request and how backend servers describe an answer.
//! A [`Protocol`] reads and writes the headers; all other code uses the types in this module.

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::LoadReport;
use http_types::Headers;
use http_types::StatusCode;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

/// What a caller says about a stream that it takes up after it was cut off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// ID of the attempt that brought its first event.
    pub first_attempt: Option<String>,
    /// ID of the last event that the caller has.
    pub last_event: Option<String>,
}

impl Resumption {
    /// `None` if the caller says neither; an empty text says nothing.
    pub fn new(first_attempt: Option<String>, last_event: Option<String>) -> Option<Resumption> {
        let first_attempt = first_attempt.filter(|id| !id.is_empty());
        let last_event = last_event.filter(|id| !id.is_empty());
        let is_given = first_attempt.is_some() || last_event.is_some();
        is_given.then_some(Resumption {
            first_attempt,
            last_event,
        })
    }
}

/// Decoded headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// Request ID, as sent by the caller.
    pub id: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Millis>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The requested model.
    pub model: Option<String>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub output_tokens: u32,
    /// The caller's estimate of the length of the answer, in tokens.
    pub expected_tokens: Option<u32>,
    /// The parts of the prompt in order. The last part isn't shared with other requests.
    pub prompt: Vec<PromptPart>,
    /// The stream that the caller takes up, if it does.
    pub resumption: Option<Resumption>,
}

/// What a backend server receives in addition to the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The intended server. Another server at its address must not run the request.
    pub server: &'a str,
    /// The caller's account.
    pub account: Option<&'a str>,
    /// How long the caller still waits.
    pub remaining: Millis,
    /// The request's rank; 0 is the most urgent.
    pub priority: u8,
    /// Address of an engine that holds the shared part of the prompt.
    pub source: Option<SocketAddr>,
    /// Whether the server is a model engine, which orders its queue by rank.
    pub ranked: bool,
}

/// Whether a server reports that it didn't run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Executed {
    /// The server didn't run it.
    No,
    /// Another server now has the address, and didn't run it.
    Misdirected,
    /// The server doesn't say, so the request may have run.
    Unknown,
}

/// What an answer says about the requests that its server accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the server is leaving, and accepts no more requests.
    pub leaving: bool,
    /// Requests per second that it accepts from all instances together, if it names a limit.
    pub limit: Option<f64>,
    /// For how long it accepts no requests from this instance, if it rejects the request and asks
    /// for that.
    pub rest: Option<Millis>,
    /// Requests that a server of this service may turn away within a second without falling over,
    /// if the servers say that they are brittle.
    pub brittle: Option<u32>,
}

/// Decoded headers of a server's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerMeta {
    /// ID of the request that is answered.
    pub id: Option<String>,
    /// Whether the request ran.
    pub executed: Executed,
    /// Whether the answer carries the server's seal.
    pub sealed: bool,
    /// Whether the body has a content encoding, although none was requested.
    pub encoded: bool,
    /// Number of requests at the server, if reported.
    pub load: Option<LoadReport>,
    /// Whether that report says a time for which no work can take, which is left out of it.
    pub absurd_load: bool,
    /// What the answer says about the requests that the server accepts.
    pub notice: Notice,
}

/// Decoded headers of the answer to a health check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthMeta {
    /// Identity of the server.
    pub server: Option<String>,
    /// How much longer it is cold, if it says so.
    pub cold_remaining: Option<Millis>,
}

/// Reads and writes the headers of one deployment.
pub trait Protocol: Send + Sync + 'static {
    /// Decodes the headers of a caller's request.
    fn request(&self, headers: &Headers) -> RequestMeta;

    /// Replaces the headers that concern only the caller's connection by those for the server.
    fn forward(&self, headers: &mut Headers, forward: &Forward<'_>);

    /// Decodes the headers of a server's answer.
    fn answer(&self, status: StatusCode, headers: &Headers) -> AnswerMeta;

    /// Decodes the headers of the answer to a health check.
    fn health(&self, headers: &Headers) -> HealthMeta;

    /// Sets the request ID in a response of the gateway itself.
    fn set_request_id(&self, headers: &mut Headers, id: &str);

    /// The path at which load balancers query readiness.
    fn readiness_path(&self) -> &str;
}
