//! The text of responses, as a single JSON body or as server-sent events.

use serde_json::Value;

use super::core::AdmittedRequest;
use super::request::CompletionKind;
use super::request::CompletionRequest;

/// The text of a response. Each token contains the request's marker, so that tests can detect
/// responses that belong to another request.
pub(super) struct ResponseText {
    kind: CompletionKind,
    id: String,
    model: String,
    marker: String,
    length: u32,
    prompt_tokens: u32,
    cached_tokens: u32,
}

impl ResponseText {
    pub(super) fn new(request: &CompletionRequest, admitted: &AdmittedRequest) -> ResponseText {
        ResponseText {
            kind: request.kind,
            id: format!("cmpl-{}", admitted.id.0),
            model: escape(&request.model),
            marker: escape(&request.marker),
            length: admitted.length,
            prompt_tokens: request.prompt_tokens(),
            cached_tokens: admitted.cached_tokens,
        }
    }

    /// Appends a token as a server-sent event.
    pub(super) fn push_token_event(&self, token: u32, out: &mut Vec<u8>) {
        let ResponseText {
            id, model, marker, ..
        } = self;
        let event = match self.kind {
            CompletionKind::Chat => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"created\":0,\
                 \"model\":\"{model}\",\"choices\":[{{\"index\":0,\
                 \"delta\":{{\"content\":\"{marker} {token} \"}},\"finish_reason\":null}}]}}\n\n"
            ),
            CompletionKind::Text => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"text_completion\",\"created\":0,\
                 \"model\":\"{model}\",\"choices\":[{{\"index\":0,\
                 \"text\":\"{marker} {token} \",\"finish_reason\":null}}]}}\n\n"
            ),
        };
        out.extend_from_slice(event.as_bytes());
    }

    /// Appends the last two events: usage and the end of the stream.
    pub(super) fn push_end_events(&self, out: &mut Vec<u8>) {
        let ResponseText { id, model, .. } = self;
        let (object, empty) = match self.kind {
            CompletionKind::Chat => ("chat.completion.chunk", "\"delta\":{}"),
            CompletionKind::Text => ("text_completion", "\"text\":\"\""),
        };
        let usage = self.usage();
        let event = format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":0,\"model\":\"{model}\",\
             \"choices\":[{{\"index\":0,{empty},\"finish_reason\":\"stop\"}}],\
             \"usage\":{usage}}}\n\ndata: [DONE]\n\n"
        );
        out.extend_from_slice(event.as_bytes());
    }

    /// Returns the complete response as a JSON body.
    pub(super) fn full_body(&self) -> String {
        let mut text = self.full_body_head();
        for token in 0..self.length {
            text.push_str(&self.token_text(token));
        }
        let close = match self.kind {
            CompletionKind::Chat => "\"}",
            CompletionKind::Text => "\"",
        };
        let usage = self.usage();
        text.push_str(close);
        text.push_str(&format!(
            ",\"finish_reason\":\"stop\"}}],\"usage\":{usage}}}"
        ));
        text
    }

    /// Returns the length of the JSON body up to the end of its first `tokens` tokens, in bytes.
    pub(super) fn full_body_prefix_len(&self, tokens: u32) -> usize {
        let lengths = (0..tokens.min(self.length)).map(|token| self.token_text(token).len());
        self.full_body_head().len() + lengths.sum::<usize>()
    }

    fn full_body_head(&self) -> String {
        let ResponseText { id, model, .. } = self;
        let (object, open) = match self.kind {
            CompletionKind::Chat => (
                "chat.completion",
                "\"message\":{\"role\":\"assistant\",\"content\":\"",
            ),
            CompletionKind::Text => ("text_completion", "\"text\":\""),
        };
        format!(
            "{{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":0,\"model\":\"{model}\",\
             \"choices\":[{{\"index\":0,{open}"
        )
    }

    fn token_text(&self, token: u32) -> String {
        format!("{} {token} ", self.marker)
    }

    fn usage(&self) -> String {
        let ResponseText {
            length,
            prompt_tokens,
            cached_tokens,
            ..
        } = self;
        let total = prompt_tokens + length;
        format!(
            "{{\"prompt_tokens\":{prompt_tokens},\"completion_tokens\":{length},\
             \"total_tokens\":{total},\
             \"prompt_tokens_details\":{{\"cached_tokens\":{cached_tokens}}}}}"
        )
    }
}

fn escape(text: &str) -> String {
    let quoted = Value::from(text).to_string();
    quoted[1..quoted.len() - 1].to_owned()
}
