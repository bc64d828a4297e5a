//! What a deployment's headers say, decoded.
//!
//! How callers describe a request, and how backend servers describe an answer, differs between
//! deployments. A [`Protocol`] reads and writes the headers; everything else works on these types.

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::LoadReport;
use http_types::Headers;
use http_types::StatusCode;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the text.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a caller's headers say of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// Names the request, as the caller gave it.
    pub id: Option<String>,
    /// How long the caller will wait.
    pub timeout: Option<Millis>,
    /// The caller's key.
    pub key: Option<String>,
    /// The model.
    pub model: Option<String>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// How many tokens the caller expects of the answer.
    pub expected_tokens: Option<u32>,
    /// The prompt's parts in order; the last is the request's own.
    pub prompt: Vec<PromptPart>,
}

/// What a backend server is told beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The server that is meant; another one at its address doesn't run the request.
    pub server: &'a str,
    /// The caller's account.
    pub account: Option<&'a str>,
    /// How long the caller still waits.
    pub remaining: Millis,
    /// The request's rank; 0 is the most urgent.
    pub priority: u8,
    /// Where another engine listens that holds the shared part of the prompt.
    pub source: Option<SocketAddr>,
    /// Whether the request is for a model engine, which orders its queue by rank.
    pub ranked: bool,
}

/// Whether a server says that it didn't run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Executed {
    /// It says so.
    No,
    /// The address belongs to another server now, which didn't run it.
    Misdirected,
    /// It says nothing, so it may have run.
    Unknown,
}

/// What a server's headers say of its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerMeta {
    /// The request that it answers.
    pub id: Option<String>,
    /// Whether the request ran.
    pub executed: Executed,
    /// Whether the answer bears the server's mark.
    pub sealed: bool,
    /// Whether the body is encoded, though no encoding was asked for.
    pub encoded: bool,
    /// How many requests the server has.
    pub load: Option<LoadReport>,
}

/// Reads and writes the headers of one deployment.
pub trait Protocol: Send + Sync + 'static {
    /// Decodes the headers of a caller's request.
    fn request(&self, headers: &Headers) -> RequestMeta;

    /// Replaces what concerns the caller's hop alone by what the server is told.
    fn forward(&self, headers: &mut Headers, forward: &Forward<'_>);

    /// Decodes the headers of a server's answer.
    fn answer(&self, status: StatusCode, headers: &Headers) -> AnswerMeta;

    /// Names the request in an answer of the gateway's own.
    fn set_request_id(&self, headers: &mut Headers, id: &str);

    /// The path at which a balancer asks whether the instance takes connections.
    fn readiness_path(&self) -> &str;
}
