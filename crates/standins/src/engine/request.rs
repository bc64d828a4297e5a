//! Parsing of completion requests.

use http_types::StatusCode;
use serde::Deserialize;
use serde_json::Value;

use crate::port::Call;

/// Default length of a response, in tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 16;

/// Maximum length of a response, in tokens.
const MAX_OUTPUT_TOKENS: u32 = 32_768;

/// Bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Header with the marker of a request whose body has no `user`.
const MARKER_HEADER: &str = "x-marker";

/// The API of a completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionKind {
    Chat,
    Text,
}

/// A parsed completion request.
#[derive(Clone, Debug)]
pub(super) struct CompletionRequest {
    pub(super) kind: CompletionKind,
    pub(super) model: String,
    pub(super) marker: String,
    pub(super) prompt: String,
    pub(super) priority: i64,
    pub(super) stream: bool,
    /// Length of the response, set by the request and known only to the engine.
    pub(super) target_tokens: Option<u32>,
    /// Maximum number of tokens that the client requests.
    pub(super) max_tokens: Option<u32>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

#[derive(Deserialize)]
struct Body {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Value,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    target_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i64,
    user: Option<String>,
}

impl CompletionRequest {
    /// Parses a request.
    ///
    /// # Errors
    ///
    /// Returns the status of the response if the body is invalid.
    pub(super) fn read(kind: CompletionKind, call: &Call) -> Result<CompletionRequest, StatusCode> {
        let body: Body = serde_json::from_slice(&call.body).map_err(|_| StatusCode::BadRequest)?;
        let prompt = match kind {
            CompletionKind::Chat => chat_prompt(&body.messages),
            CompletionKind::Text => prompt_text(&body.prompt),
        };
        let header = || call.header(MARKER_HEADER).map(str::to_owned);
        Ok(CompletionRequest {
            kind,
            model: body.model,
            marker: body.user.or_else(header).unwrap_or_default(),
            prompt,
            priority: body.priority,
            stream: body.stream,
            target_tokens: body.target_tokens,
            max_tokens: body.max_tokens,
        })
    }

    /// Returns the number of tokens of the prompt, at least 1.
    pub(super) fn prompt_tokens(&self) -> u32 {
        self.prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32
    }

    /// Returns the number of tokens of the response; `sampled` is the length sampled from the
    /// engine's distribution, if it has one.
    pub(super) fn output_tokens(&self, sampled: Option<u32>) -> u32 {
        let requested = self
            .target_tokens
            .or(sampled)
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_OUTPUT_TOKENS);
        requested
            .min(self.max_tokens.unwrap_or(MAX_OUTPUT_TOKENS))
            .clamp(1, MAX_OUTPUT_TOKENS)
    }
}

/// Returns the prompt of a chat: the contents of its messages, one per line.
fn chat_prompt(messages: &[Message]) -> String {
    let contents: Vec<String> = messages.iter().map(|m| prompt_text(&m.content)).collect();
    contents.join("\n")
}

fn prompt_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
