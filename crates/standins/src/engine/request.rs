//! What an engine reads from a request.

use http_types::StatusCode;
use serde::Deserialize;
use serde_json::Value;

use crate::port::Call;

/// Length of an answer when nothing says otherwise, in tokens.
const DEFAULT_LENGTH: u32 = 16;

/// Longest answer, in tokens.
const MAX_LENGTH: u32 = 32_768;

/// Bytes of prompt text to a token.
const TOKEN_BYTES: usize = 4;

/// Header that marks a request when its body has no `user`.
const MARKER: &str = "x-marker";

/// Which of the two completion calls was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    Chat,
    Text,
}

/// A request, read and checked.
#[derive(Clone, Debug)]
pub(super) struct Completion {
    pub(super) form: Form,
    pub(super) model: String,
    pub(super) marker: String,
    pub(super) prompt: String,
    pub(super) priority: i64,
    pub(super) stream: bool,
    /// The length that the request fixes, known to the engine alone.
    pub(super) target: Option<u32>,
    /// The most tokens that the caller wants.
    pub(super) limit: Option<u32>,
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

impl Completion {
    /// Reads a request; the status to answer with when it can't be.
    pub(super) fn read(form: Form, call: &Call) -> Result<Completion, StatusCode> {
        let body: Body = serde_json::from_slice(&call.body).map_err(|_| StatusCode::BadRequest)?;
        let prompt = match form {
            Form::Chat => chat_prompt(&body.messages),
            Form::Text => text(&body.prompt),
        };
        let header = || call.header(MARKER).map(str::to_owned);
        Ok(Completion {
            form,
            model: body.model,
            marker: body.user.or_else(header).unwrap_or_default(),
            prompt,
            priority: body.priority,
            stream: body.stream,
            target: body.target_tokens,
            limit: body.max_tokens,
        })
    }

    /// Tokens of the prompt, at least one.
    pub(super) fn prompt_tokens(&self) -> u32 {
        self.prompt.len().div_ceil(TOKEN_BYTES).max(1) as u32
    }

    /// Tokens of the answer; `drawn` is the length that a distribution gave, if one is set.
    pub(super) fn length(&self, drawn: Option<u32>) -> u32 {
        let wanted = self
            .target
            .or(drawn)
            .or(self.limit)
            .unwrap_or(DEFAULT_LENGTH);
        wanted
            .min(self.limit.unwrap_or(MAX_LENGTH))
            .clamp(1, MAX_LENGTH)
    }
}

/// The prompt text of a chat: the contents of its messages, one a line.
fn chat_prompt(messages: &[Message]) -> String {
    let contents: Vec<String> = messages.iter().map(|m| text(&m.content)).collect();
    contents.join("\n")
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
