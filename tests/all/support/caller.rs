//! A caller that sends one request and reads the complete answer.

use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;

use async_std::io::ReadExt;
use async_std::task;
use crocushold_http::Client;
use crocushold_http::PoolLimits;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use http_types::headers::Headers;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    pub path: String,
    pub key: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl Call {
    /// A chat completion request for the site's model.
    pub fn chat(stream: bool, tokens: u32) -> Call {
        Call {
            method: Method::Post,
            path: "/v1/chat/completions".to_owned(),
            key: "team.chat".to_owned(),
            headers: Vec::new(),
            body: format!(
                r#"{{"model":"m","stream":{stream},"max_tokens":{tokens},
                "messages":[{{"role":"user","content":"hello"}}]}}"#
            ),
        }
    }

    /// A non-idempotent call of the plain service.
    pub fn booking(marker: &str) -> Call {
        Call {
            method: Method::Post,
            path: "/booking/confirmations".to_owned(),
            key: "team.chat".to_owned(),
            headers: vec![("x-marker", marker.to_owned())],
            body: "{}".to_owned(),
        }
    }

    /// A request of the batch class.
    pub fn batch(tokens: u32) -> Call {
        Call::chat(false, tokens).key("team.batch")
    }

    /// Sets a marker, by which the stand-ins count the request's runs and which they repeat in each
    /// token.
    pub fn marked(self, marker: &str) -> Call {
        self.header("x-marker", marker)
    }

    /// Makes each token of a streamed answer `bytes` bytes longer.
    pub fn padded(mut self, bytes: usize) -> Call {
        let user = format!("{{\"user\":\"{}\",", "x".repeat(bytes));
        self.body = self.body.replacen('{', &user, 1);
        self
    }

    /// Returns the request's head in HTTP/1.1, with the length of the complete body.
    pub fn head(&self) -> String {
        let mut head = format!("{} {} HTTP/1.1\r\nhost: entry\r\n", self.method, self.path);
        head.push_str(&format!("authorization: Bearer {}\r\n", self.key));
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        head
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Call {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Replaces the caller's key.
    pub fn key(mut self, key: &str) -> Call {
        self.key = key.to_owned();
        self
    }
}

/// The answer that a caller received.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: String,
    /// Whether the body was complete according to its framing.
    pub whole: bool,
}

impl Answer {
    /// Returns a header's value, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let values = self.headers.get(name);
        values.map_or("", |values| values.as_str())
    }
}

/// Sends a request and reads the answer. Returns `None` if the connection ended before an answer
/// began.
pub fn call(address: SocketAddr, call: &Call) -> Option<Answer> {
    task::block_on(async {
        let url = Url::parse(&format!("http://{address}{}", call.path)).unwrap();
        let mut request = Request::new(call.method, url);
        request.insert_header("authorization", format!("Bearer {}", call.key));
        for (name, value) in &call.headers {
            request.insert_header(*name, value);
        }
        if call.method != Method::Get {
            request.set_body(call.body.clone());
        }
        let client = Client::new(PoolLimits::default());
        let limits = SendLimits::default();
        let answer = client.send(address, request, &limits, Reuse::Fresh).await;
        let mut answer = answer.ok()?;
        let mut bytes = Vec::new();
        let whole = answer.body.read_to_end(&mut bytes).await.is_ok();
        Some(Answer {
            status: answer.status.into(),
            headers: answer.headers,
            body: String::from_utf8_lossy(&bytes).into_owned(),
            whole,
        })
    })
}

/// Sends a request from a new thread, which returns the answer.
pub fn spawn_call(address: SocketAddr, request: &Call) -> JoinHandle<Option<Answer>> {
    let request = request.clone();
    thread::spawn(move || call(address, &request))
}
