//! Where a head ends, and each of its lines, is the same for this crate and for whoever reads the message after it.

#![allow(clippy::unwrap_used)]

mod support;

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
use crocushold_http::SendErrorKind;
use crocushold_http::SendLimits;
use crocushold_http::ServerLimits;
use crocushold_http::read_body;
use crocushold_http::relay_headers;
use http_types::Response;
use proptest::prelude::*;
use test_case::test_case;

use support::block_on;
use support::connect_and_send;
use support::fixed_answer_server;
use support::read_rest;
use support::scripted_server;
use support::send;
use support::serve;
use support::status;
use support::with_timeout;

/// A request in the body of the one that is sent.
const INNER: &str = "POST /inner HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";

/// Bytes with which a head is longer than async-h1 parses.
const LONG: usize = 9000;

/// Bytes of a value in a head that async-h1 parses as it is.
const SHORT: usize = 4;

/// The bytes that servers have received, each on a connection of its own.
type Received = Arc<Mutex<Vec<String>>>;

/// Starts a relay in front of a server that records what it receives until the relay closes.
async fn relay() -> (SocketAddr, Received) {
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
        body_timeout: Millis(500),
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

/// Sends bytes to a relay and ends. Returns the statuses of the answers, and the text that each server connection carried.
async fn relay_bytes(text: &str) -> (Vec<String>, Vec<String>) {
    let (address, received) = relay().await;
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
fn first_body(text: &str) -> Option<(&str, &str)> {
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
fn bodies(text: &str) -> Vec<&str> {
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

/// A head whose line before the length ends as given, with a body that is another request.
fn request(filler: usize, line_end: &str) -> String {
    format!(
        "POST /outer HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-note: {}{line_end}content-length: {}\r\n\r\n{INNER}",
        "n".repeat(filler),
        INNER.len()
    )
}

/// Guards against a request that is run though it stood in the body of another one, whose length stands behind a line end
/// that not every reader takes for one.
#[test_case("\n"; "line feed")]
#[test_case("\r"; "carriage return")]
#[test_case("\n\r\n"; "empty line after a line feed")]
#[test_case("\r\r\n"; "two carriage returns")]
#[test_case("\r\n\n"; "line feed after a line")]
#[test_case("\n\n"; "two line feeds")]
#[test_case("\0\r\n"; "zero byte")]
#[test_case("\x0b\r\n"; "vertical tab")]
#[test_case("\r\n\r"; "carriage return before the length")]
#[test_case("\r\n "; "folded line")]
fn a_body_is_never_read_as_a_request(line_end: &str) {
    for filler in [SHORT, LONG] {
        let (statuses, received) = block_on(relay_bytes(&request(filler, line_end)));
        assert_eq!(statuses, ["400"], "{filler} bytes before: {received:?}");
        assert!(received.is_empty(), "{filler} bytes before: {received:?}");
    }
}

/// Guards against a header with a line end in its name or value, in which a server reads another header.
#[test_case("x-empty\nx-account: other"; "line feed in a name")]
#[test_case("x-empty\rx-account: other"; "carriage return in a name")]
#[test_case("x-empty: \nx-account: other"; "line feed in a value")]
#[test_case("x-empty: \rx-account: other"; "carriage return in a value")]
#[test_case("x-empty : other"; "space before the colon")]
#[test_case("x\u{7f}: other"; "control character in a name")]
#[test_case("x-empty: \x01"; "control character in a value")]
#[test_case("x(empty): other"; "delimiters in a name")]
#[test_case(": other"; "no name")]
#[test_case("x-empty"; "no colon")]
fn a_malformed_line_is_refused_in_heads_of_any_length(line: &str) {
    let long = format!("{line}{}", " ".repeat(300));
    for (filler, line) in [(SHORT, line), (LONG, line), (LONG, long.as_str())] {
        let note = "n".repeat(filler);
        let text = format!(
            "GET / HTTP/1.1\r\nhost: a\r\n{line}\r\nx-note: {note}\r\nconnection: close\r\n\r\n"
        );
        let (statuses, received) = block_on(relay_bytes(&text));
        assert_eq!(statuses, ["400"], "{filler}: {received:?}");
        assert!(received.is_empty(), "{filler}: {received:?}");
    }
}

/// Guards against a blank line between two requests that is refused because it comes in two segments.
#[test]
fn a_blank_line_before_a_request_may_come_in_two_segments() {
    block_on(async {
        let (address, _) = relay().await;
        let mut caller = connect_and_send(address, "\r").await;
        task::sleep(Duration::from_millis(50)).await;
        let rest = "\nGET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        caller.write_all(rest.as_bytes()).await.unwrap();
        assert_eq!(status(&read_rest(&mut caller).await), "200");
    });
}

/// Parts of heads, and bytes that some readers take for the end of a line or of a head.
fn pieces() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        4 => prop::sample::select(vec![
            "\r\n", "\n", "\r", "\n\r\n", "\r\n\r\n", "\0", " ", "\t", ":", "x", "x: y", "x: y\r\n", "x-note: ",
        ])
        .prop_map(str::to_owned),
        1 => (1_usize..3).prop_map(|count| "n".repeat(count * LONG / 2)),
        1 => "[\\x00-\\x7f]".prop_map(|text| text),
    ];
    prop::collection::vec(piece, 0..8).prop_map(|pieces| pieces.concat())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(384))]

    /// Guards against any head in which two readers find another number of requests, or other bodies.
    #[test]
    fn a_head_is_refused_or_read_in_one_way(before in pieces(), after in pieces()) {
        let sent = format!(
            "POST /outer HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{before}\r\ncontent-length: {}\r\n{after}\r\n\r\n{INNER}",
            INNER.len()
        );
        let (statuses, received) = block_on(relay_bytes(&sent));
        let served = statuses.iter().filter(|status| *status == "200").count();
        prop_assert_eq!(served, received.len(), "{:?} {:?}", statuses, received);
        // What the relay itself reads as a request is one for every reader behind it.
        for text in &received {
            prop_assert_eq!(bodies(text).len(), 1, "{:?}", received);
        }
        // A strict reader, for which lines end in CR LF, finds the same requests in what the caller has sent.
        if let Some(text) = received.first() {
            prop_assert_eq!(strict_body(&sent), first_body(text).map(|(body, _)| body));
        }
    }
}

/// The body of the first request in a text by the grammar of RFC 9112; `None` if its head isn't of that grammar.
fn strict_body(text: &str) -> Option<&str> {
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let mut length = 0;
    for line in head.split("\r\n").skip(1) {
        let (name, value) = line.split_once(':')?;
        let is_name_byte =
            |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
        let is_value_byte = |byte: u8| byte == b'\t' || (b' '..=b'~').contains(&byte);
        if name.is_empty() || !name.bytes().all(is_name_byte) || !value.bytes().all(is_value_byte) {
            return None;
        }
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    rest.get(..length)
}

/// Guards against an answer whose framing stands behind a line end that not every reader takes for one.
#[test_case("x: y\n", "content-length: 4\r\n"; "line feed before the length")]
#[test_case("x: y\r", "content-length: 4\r\n"; "carriage return before the length")]
#[test_case("x: y\n\r\n", "content-length: 4\r\n"; "empty line before the length")]
#[test_case("content-length: 4\n", "x: y\r\n"; "line feed after the length")]
#[test_case("content-length: 4\n", ""; "length, and an empty line")]
#[test_case("\n", "content-length: 4\r\n"; "line feed before the first header")]
fn an_answer_with_other_line_ends_is_malformed(first: &str, second: &str) {
    let text = format!("HTTP/1.1 200 OK\r\n{first}{second}\r\nbody");
    let failed = block_on(async {
        let server = fixed_answer_server(text).await;
        send(server).await
    });
    let error = failed.unwrap_err();
    assert!(
        matches!(error.kind, SendErrorKind::HeadMalformed(_)),
        "{error}"
    );
}
