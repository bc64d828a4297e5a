//! A caller that prints the answers it receives.

use std::io::Write;
use std::net::SocketAddr;

use async_std::io::ReadExt;
use crocushold_http::Answer;
use crocushold_http::Client;
use crocushold_http::PoolLimits;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use serde::Deserialize;

use crate::Outcome;

/// Sends requests to one entry instance.
pub(crate) struct Caller {
    entry: SocketAddr,
    client: Client,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

impl Caller {
    pub(crate) fn new(entry: SocketAddr) -> Caller {
        Caller {
            entry,
            client: Client::new(PoolLimits::default()),
        }
    }

    /// Requests a short chat completion in a class.
    pub(crate) async fn chat(&self, key: &str, class: &str, stream: bool) -> Outcome<()> {
        let body = format!(
            r#"{{"model":"demo-8b","stream":{stream},"max_tokens":8,
            "messages":[{{"role":"user","content":"When are you free?"}}]}}"#
        );
        let mut request = self.request(Method::Post, "/v1/chat/completions", key)?;
        request.insert_header("x-class", class);
        request.set_body(body);
        self.send(request, stream).await
    }

    pub(crate) async fn get(&self, key: &str, path: &str) -> Outcome<()> {
        let request = self.request(Method::Get, path, key)?;
        self.send(request, false).await
    }

    /// Makes a non-idempotent call, identified by an idempotency key.
    pub(crate) async fn post(&self, key: &str, path: &str, idempotency_key: &str) -> Outcome<()> {
        let mut request = self.request(Method::Post, path, key)?;
        request.insert_header("idempotency-key", idempotency_key);
        request.set_body("{}");
        self.send(request, false).await
    }

    fn request(&self, method: Method, path: &str, key: &str) -> Outcome<Request> {
        let url = Url::parse(&format!("http://{}{path}", self.entry))?;
        let mut request = Request::new(method, url);
        request.insert_header("authorization", format!("Bearer {key}"));
        Ok(request)
    }

    async fn send(&self, request: Request, stream: bool) -> Outcome<()> {
        println!(
            "{} {} ({})",
            request.method(),
            request.url().path(),
            class_of(&request)
        );
        let limits = SendLimits::default();
        let answer = self
            .client
            .send(self.entry, request, &limits, Reuse::Allowed)
            .await?;
        print!("  {} ", answer.status);
        if stream && answer.status.is_success() {
            print_stream(answer).await
        } else {
            print_whole(answer).await
        }
    }
}

fn class_of(request: &Request) -> String {
    let class = request
        .header("x-class")
        .map(|values| values.as_str().to_owned());
    class.unwrap_or_else(|| "the account's class".to_owned())
}

async fn print_whole(mut answer: Answer) -> Outcome<()> {
    let mut text = String::new();
    answer.body.read_to_string(&mut text).await?;
    let retry = answer
        .headers
        .get("retry-after")
        .map(|values| values.as_str());
    let retry = retry.map(|seconds| format!(" (come back in {seconds} s)"));
    println!("{}{}", text.trim(), retry.unwrap_or_default());
    Ok(())
}

async fn print_stream(mut answer: Answer) -> Outcome<()> {
    let mut pending = String::new();
    let mut buffer = [0; 4096];
    loop {
        let count = answer.body.read(&mut buffer).await?;
        if count == 0 {
            println!();
            return Ok(());
        }
        pending.push_str(&String::from_utf8_lossy(&buffer[..count]));
        while let Some(end) = pending.find("\n\n") {
            print_event(&pending[..end]);
            pending.drain(..end + 2);
        }
    }
}

fn print_event(event: &str) {
    let data = event.strip_prefix("data: ").unwrap_or(event);
    if let Ok(chunk) = serde_json::from_str::<Chunk>(data) {
        for choice in chunk.choices {
            print!("{}", choice.delta.content);
        }
    }
    // Shows each token as it arrives; a failure to flush is harmless.
    let _ = std::io::stdout().flush();
}
