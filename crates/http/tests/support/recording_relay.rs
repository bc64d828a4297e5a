//! A relay in front of servers that record what they receive, and readers of it.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::SocketAddr;
use async_std::net::TcpStream;
use async_std::task;
use crocushold_base::Millis;
use crocushold_http::Client;
use crocushold_http::ListenerLimits;
use crocushold_http::PoolLimits;
use crocushold_http::RequestTarget;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use crocushold_http::ServerLimits;
use crocushold_http::read_body;
use crocushold_http::relay_headers;
use http_types::Response;

use super::connect_and_send;
use super::read_rest;
use super::scripted_server;
use super::serve;
use super::status;
use super::with_timeout;

/// The bytes that servers have received, each on a connection of its own.
pub type Received = Arc<Mutex<Vec<String>>>;

/// Starts a relay in front of a server that records what it receives until the relay closes.
///
/// The relay waits for a request, and for the rest of one, for `patience`.
pub async fn relay(patience: Millis) -> (SocketAddr, Received) {
    let received = Received::default();
    let kept = received.clone();
    let server = scripted_server(move |_, mut stream| {
        let kept = kept.clone();
        async move {
            let mut text = String::new();
            while first_body(&text).is_none() {
                let read = read_some(&mut stream).await;
                assert!(!read.is_empty(), "a part of a request: {text:?}");
                text += &read;
            }
            let answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.unwrap();
            text += &read_rest(&mut stream).await;
            kept.lock().unwrap().push(text);
        }
    })
    .await;
    let limits = ServerLimits {
        head_bytes: 16 * 1024,
        head_timeout: patience,
        body_timeout: patience,
        idle_timeout: patience,
        ..ServerLimits::default()
    };
    let listener = ListenerLimits {
        server: limits.clone(),
        ..ListenerLimits::default()
    };
    let client = Client::new(PoolLimits::default());
    let (address, _, _) = serve(listener, move |mut request, _| {
        let (client, limits) = (client.clone(), limits.clone());
        async move {
            let body = match read_body(&mut request, &limits).await {
                Ok(body) => body,
                Err(error) => return Response::new(error.status()),
            };
            let target = RequestTarget::of(&request).unwrap();
            let mut outgoing = target.request(request.method());
            relay_headers(request.as_ref(), outgoing.as_mut());
            outgoing.set_body(body);
            let limits = SendLimits::default();
            let sent = client.send(server, outgoing, &limits, Reuse::Fresh).await;
            Response::new(sent.unwrap().status)
        }
    })
    .await;
    (address, received)
}

/// Sends bytes to a relay, and reads until it closes. Returns the statuses of the answers, and the text that each server connection carried.
pub async fn relay_bytes(text: &str, patience: Millis) -> (Vec<String>, Vec<String>) {
    let (address, received) = relay(patience).await;
    let mut caller = connect_and_send(address, text).await;
    let answers = read_rest(&mut caller).await;
    let statuses = answers.split("HTTP/1.1").skip(1);
    let statuses: Vec<String> = statuses.map(|answer| status(answer).to_owned()).collect();
    // A server records what it has received when its connection is closed, after the answer.
    let served = statuses.iter().filter(|status| *status == "200").count();
    let recorded = async {
        while received.lock().unwrap().len() < served {
            task::sleep(Duration::from_millis(1)).await;
        }
    };
    with_timeout(recorded).await;
    let texts = received.lock().unwrap().clone();
    (statuses, texts)
}

/// The body of the first request in a text, and what follows it, for a reader whose lines end in a line feed, with or without
/// a carriage return. `None` if a part of the request is missing.
pub fn first_body(text: &str) -> Option<(&str, &str)> {
    let mut length = 0;
    let mut rest = text;
    loop {
        let (line, after) = rest.split_once('\n')?;
        rest = after;
        let line = line.trim_end_matches('\r');
        if line.is_empty() {
            return rest.split_at_checked(length);
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().unwrap();
        }
    }
}

/// The bodies of all requests in a text, for the same reader.
pub fn bodies(text: &str) -> Vec<&str> {
    let mut bodies = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (body, after) = first_body(rest).unwrap();
        bodies.push(body);
        rest = after;
    }
    bodies
}

async fn read_some(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 4096];
    let count = with_timeout(stream.read(&mut bytes)).await.unwrap();
    String::from_utf8(bytes[..count].to_vec()).unwrap()
}

/// The body of the first request in a text by the grammar of RFC 9112, and what follows it; `None` if the request isn't of that
/// grammar or a part of it is missing.
pub fn strict_body(text: &str) -> Option<(String, &str)> {
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let mut lengths = Vec::new();
    let mut codings = Vec::new();
    for line in head.split("\r\n").skip(1) {
        let (name, value) = strict_header(line)?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => lengths.push(value),
            "transfer-encoding" => codings.push(value),
            _ => {}
        }
    }
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Some((String::new(), rest)),
        ([], [coding]) if coding.eq_ignore_ascii_case("chunked") => strict_chunks(rest),
        ([first, others @ ..], []) if others.iter().all(|other| other == first) => {
            let is_number = !first.is_empty() && first.bytes().all(|byte| byte.is_ascii_digit());
            let length = first.parse().ok().filter(|_| is_number)?;
            let (body, rest) = rest.split_at_checked(length)?;
            Some((body.to_owned(), rest))
        }
        _ => None,
    }
}

fn strict_header(line: &str) -> Option<(&str, &str)> {
    let (name, value) = line.split_once(':')?;
    let is_name_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    let is_value_byte = |byte: u8| byte == b'\t' || (b' '..=b'~').contains(&byte);
    let is_header =
        !name.is_empty() && name.bytes().all(is_name_byte) && value.bytes().all(is_value_byte);
    is_header.then_some((name, value.trim()))
}

/// The data of a body in chunks without extensions, and what follows it.
fn strict_chunks(mut text: &str) -> Option<(String, &str)> {
    let mut data = String::new();
    loop {
        let (size, rest) = text.split_once("\r\n")?;
        if size.is_empty() || !size.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let size = usize::from_str_radix(size, 16).ok()?;
        text = rest;
        if size == 0 {
            break;
        }
        let (piece, rest) = text.split_at_checked(size)?;
        data += piece;
        text = rest.strip_prefix("\r\n")?;
    }
    loop {
        let (line, rest) = text.split_once("\r\n")?;
        text = rest;
        if line.is_empty() {
            return Some((data, text));
        }
        strict_header(line)?;
    }
}
