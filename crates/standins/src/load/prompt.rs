//! Encoding of requests.

use std::net::SocketAddr;

use rand::RngExt;
use rand::rngs::StdRng;
use serde::Serialize;

use super::plan::LoadClass;
use super::plan::RequestKind;

/// Length of a shared prompt prefix, in bytes; equal to the length that an engine hashes.
const SHARED_PREFIX_BYTES: usize = 256;

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    messages: Option<[Message<'a>; 1]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    prompt: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    max_tokens: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    priority: Option<i64>,
    target_tokens: u32,
    stream: bool,
    user: &'a str,
}

/// Encodes a request, head and body, for a response of `output` tokens.
pub(super) fn request_bytes(
    class: &LoadClass,
    marker: &str,
    host: SocketAddr,
    output: u32,
    rng: &mut StdRng,
) -> Vec<u8> {
    let (path, body) = match class.kind {
        RequestKind::Chat => (
            "/v1/chat/completions",
            completion(class, marker, output, rng),
        ),
        RequestKind::Text => ("/v1/completions", completion(class, marker, output, rng)),
        RequestKind::Call => (class.path.as_str(), call_body(class, rng)),
    };
    let mut head = format!(
        "POST {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nx-marker: {marker}\r\n",
        body.len()
    );
    if class.kind == RequestKind::Call {
        head.push_str(&format!("idempotency-key: {marker}\r\n"));
    }
    if !class.key.is_empty() {
        head.push_str(&format!("authorization: Bearer {}\r\n", class.key));
    }
    for header in &class.headers {
        head.push_str(&format!("{}: {}\r\n", header.name, header.value));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&body);
    bytes
}

fn completion(class: &LoadClass, marker: &str, output: u32, rng: &mut StdRng) -> Vec<u8> {
    let text = prompt(class, marker, rng);
    let message = Message {
        role: "user",
        content: &text,
    };
    let chat = class.kind == RequestKind::Chat;
    let body = CompletionBody {
        model: &class.model,
        messages: chat.then_some([message]),
        prompt: (!chat).then_some(text.as_str()),
        max_tokens: class.max_tokens,
        priority: class.priority,
        target_tokens: output,
        stream: class.stream,
        user: marker,
    };
    serde_json::to_vec(&body).expect("plain data structures always serialise")
}

/// Returns a prompt: a prefix shared within the class, followed by text unique to the request.
fn prompt(class: &LoadClass, marker: &str, rng: &mut StdRng) -> String {
    let length = class.prompt.sample(rng) as usize;
    let mut text = match class.prefixes {
        0 => format!("{marker} "),
        prefixes => format!("{} prefix {} ", class.name, rng.random_range(0..prefixes)),
    };
    pad(&mut text, length.min(SHARED_PREFIX_BYTES));
    if length > SHARED_PREFIX_BYTES {
        text.push_str(marker);
        pad(&mut text, length);
    }
    text
}

fn call_body(class: &LoadClass, rng: &mut StdRng) -> Vec<u8> {
    let mut text = "{\"note\":\"".to_owned();
    pad(&mut text, class.prompt.sample(rng) as usize);
    text.push_str("\"}");
    text.into_bytes()
}

fn pad(text: &mut String, length: usize) {
    let missing = length.saturating_sub(text.len());
    text.extend(std::iter::repeat_n('x', missing));
}
