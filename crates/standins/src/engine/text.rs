//! The text of answers, whole and as server-sent events.

use serde_json::Value;

use super::core::Started;
use super::request::Completion;
use super::request::Form;

/// The text of one answer. Every token carries the request's marker, so that a test can tell whose
/// answer it reads.
pub(super) struct Texts {
    form: Form,
    id: String,
    model: String,
    marker: String,
    length: u32,
    prompt_tokens: u32,
    cached_tokens: u32,
}

impl Texts {
    pub(super) fn new(request: &Completion, started: &Started) -> Texts {
        Texts {
            form: request.form,
            id: format!("cmpl-{}", started.id.0),
            model: escape(&request.model),
            marker: escape(&request.marker),
            length: started.length,
            prompt_tokens: request.prompt_tokens(),
            cached_tokens: started.cached_tokens,
        }
    }

    /// One token as a server-sent event.
    pub(super) fn push_token(&self, token: u32, out: &mut Vec<u8>) {
        let Texts {
            id, model, marker, ..
        } = self;
        let event = match self.form {
            Form::Chat => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"created\":0,\
                 \"model\":\"{model}\",\"choices\":[{{\"index\":0,\
                 \"delta\":{{\"content\":\"{marker} {token} \"}},\"finish_reason\":null}}]}}\n\n"
            ),
            Form::Text => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"text_completion\",\"created\":0,\
                 \"model\":\"{model}\",\"choices\":[{{\"index\":0,\
                 \"text\":\"{marker} {token} \",\"finish_reason\":null}}]}}\n\n"
            ),
        };
        out.extend_from_slice(event.as_bytes());
    }

    /// The last two events: usage, and the end of the stream.
    pub(super) fn push_end(&self, out: &mut Vec<u8>) {
        let Texts { id, model, .. } = self;
        let (object, empty) = match self.form {
            Form::Chat => ("chat.completion.chunk", "\"delta\":{}"),
            Form::Text => ("text_completion", "\"text\":\"\""),
        };
        let usage = self.usage();
        let event = format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":0,\"model\":\"{model}\",\
             \"choices\":[{{\"index\":0,{empty},\"finish_reason\":\"stop\"}}],\
             \"usage\":{usage}}}\n\ndata: [DONE]\n\n"
        );
        out.extend_from_slice(event.as_bytes());
    }

    /// The whole answer as one JSON text.
    pub(super) fn whole(&self) -> String {
        let mut text = self.whole_head();
        for token in 0..self.length {
            text.push_str(&self.word(token));
        }
        let close = match self.form {
            Form::Chat => "\"}",
            Form::Text => "\"",
        };
        let usage = self.usage();
        text.push_str(close);
        text.push_str(&format!(
            ",\"finish_reason\":\"stop\"}}],\"usage\":{usage}}}"
        ));
        text
    }

    /// Bytes of the whole answer up to the end of its first `tokens` tokens.
    pub(super) fn whole_cut(&self, tokens: u32) -> usize {
        let words = (0..tokens.min(self.length)).map(|token| self.word(token).len());
        self.whole_head().len() + words.sum::<usize>()
    }

    fn whole_head(&self) -> String {
        let Texts { id, model, .. } = self;
        let (object, open) = match self.form {
            Form::Chat => (
                "chat.completion",
                "\"message\":{\"role\":\"assistant\",\"content\":\"",
            ),
            Form::Text => ("text_completion", "\"text\":\""),
        };
        format!(
            "{{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":0,\"model\":\"{model}\",\
             \"choices\":[{{\"index\":0,{open}"
        )
    }

    fn word(&self, token: u32) -> String {
        format!("{} {token} ", self.marker)
    }

    fn usage(&self) -> String {
        let Texts {
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
