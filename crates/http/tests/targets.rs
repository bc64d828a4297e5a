//! What a request's head bears on its way from a caller to a server.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::sync::Mutex;

use async_std::io::WriteExt;
use async_std::net::SocketAddr;
use crocushold_http::Client;
use crocushold_http::ListenerLimits;
use crocushold_http::MalformedTarget;
use crocushold_http::PoolLimits;
use crocushold_http::RequestTarget;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use crocushold_http::ServerLimits;
use crocushold_http::read_body;
use crocushold_http::relay_headers;
use http_types::Body;
use http_types::Method;
use http_types::Response;
use proptest::prelude::*;
use test_case::test_case;

use support::block_on;
use support::connect_and_send;
use support::fixed_answer_server;
use support::read_head;
use support::read_rest;
use support::read_until;
use support::scripted_server;
use support::serve;
use support::status;

/// Characters that no target contains.
const NEVER: [char; 11] = [' ', '#', '\\', '"', '<', '>', '^', '`', '{', '|', '}'];

/// The whole requests that a server has received.
type Received = Arc<Mutex<Vec<String>>>;

/// Starts a server, and a relay in front of it that passes on what it receives.
async fn relay() -> (SocketAddr, Received) {
    let received = Received::default();
    let kept = received.clone();
    let server = scripted_server(move |_, mut stream| {
        let kept = kept.clone();
        async move {
            let mut text = read_head(&mut stream).await;
            if text.contains("content-length: 4") {
                text += &read_until(&mut stream, "body").await;
            }
            kept.lock().unwrap().push(text);
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.unwrap();
        }
    })
    .await;
    let client = Client::new(PoolLimits::default());
    let (address, _, _) = serve(ListenerLimits::default(), move |mut request, _| {
        let client = client.clone();
        async move {
            let body = read_body(&mut request, &ServerLimits::default()).await;
            let body = match body {
                Ok(body) => body,
                Err(error) => return Response::new(error.status()),
            };
            let target = RequestTarget::of(&request).unwrap();
            let mut outgoing = target.request(request.method());
            relay_headers(request.as_ref(), outgoing.as_mut());
            let kind = outgoing.remove_header("content-type");
            outgoing.set_body(Body::from_bytes(body));
            outgoing.remove_header("content-type");
            if let Some(kind) = kind {
                outgoing.insert_header("content-type", &kind);
            }
            let limits = SendLimits::default();
            let sent = client.send(server, outgoing, &limits, Reuse::Fresh).await;
            Response::new(sent.unwrap().status)
        }
    })
    .await;
    (address, received)
}

/// Sends a request through a relay. Returns the status, and what the server received.
async fn send(text: impl Into<String>) -> (String, Vec<String>) {
    let (address, received) = relay().await;
    let mut caller = connect_and_send(address, &text.into()).await;
    let answer = read_until(&mut caller, "\r\n\r\n").await;
    let received = received.lock().unwrap().clone();
    (status(&answer).to_owned(), received)
}

fn target() -> impl Strategy<Value = String> {
    let path = "(/([A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-Fa-f]{2}|\\.\\.|\\.){0,9}){1,9}";
    let query = "(\\?([A-Za-z0-9._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2}){0,20})?";
    let form = "(http://a|HTTPS://A)?";
    (form, path, query).prop_map(|(form, path, query)| format!("{form}{path}{query}"))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Guards against a target that a parser of URLs has changed.
    #[test]
    fn any_target_arrives_unchanged(target in target()) {
        let request = format!("GET {target} HTTP/1.1\r\nhost: a\r\n\r\n");
        let (status, received) = block_on(send(request));
        prop_assert_eq!(status, "200");
        let line = format!("GET {target} HTTP/1.1\r\n");
        prop_assert!(received[0].starts_with(&line), "{:?}", received);
    }

    /// Guards against a text that is refused though it may be a target, or sent though it isn't one, and against a
    /// panic.
    #[test]
    fn any_text_is_refused_or_kept(text in "[ -~]{0,20}|/[ -~]{0,20}|http://[ -~]{0,20}") {
        match RequestTarget::parse(&text) {
            Ok(target) => {
                prop_assert_eq!(target.as_str(), &text);
                prop_assert!(text.contains(target.path()) || target.path() == "/");
                prop_assert!(!text.contains(NEVER));
            }
            Err(MalformedTarget::Form) => prop_assert!(!text.starts_with('/')),
            Err(MalformedTarget::Character) => {}
        }
    }
}

/// Guards against a route that is chosen by another part of a target than its path.
#[test_case("/a/../b?c=/d", "/a/../b"; "origin form")]
#[test_case("//a/b", "//a/b"; "a path that looks like a host")]
#[test_case("http://a/b/c?d", "/b/c"; "absolute form")]
#[test_case("HTTP://a:80/b?http://c/d", "/b"; "scheme in capitals")]
#[test_case("http://[::1]:80?a/b", "/"; "absolute form without a path")]
#[test_case("*", "*"; "asterisk")]
fn the_path_is_taken_as_it_is(target: &str, path: &str) {
    assert_eq!(RequestTarget::parse(target).unwrap().path(), path);
}

/// Guards against a form of target that leads to another host, or none.
#[test_case(""; "nothing")]
#[test_case("a/b"; "no slash")]
#[test_case("http:/a/b"; "no host")]
#[test_case("http:///a"; "empty host")]
#[test_case("http://:80/a"; "port alone")]
#[test_case("ftp://a/b"; "another scheme")]
#[test_case("**"; "two asterisks")]
fn other_forms_are_refused(target: &str) {
    assert_eq!(RequestTarget::parse(target), Err(MalformedTarget::Form));
}

/// Guards against headers that are lost, joined or put in another order than their repetitions were sent in.
#[test]
fn headers_keep_their_values_and_the_order_of_repetitions() {
    block_on(async {
        let head = "POST /x HTTP/1.1\r\nX-B: 2; q=\"a,b\"\r\nhost: a\r\nX-A: 1\r\nx-b:  3\t \r\nX-Empty:\r\n\
             Content-Type: Text/X\r\ncontent-length: 4\r\n\r\nbody";
        let (_, received) = send(head).await;
        let expected = "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-type: Text/X\r\nx-a: 1\r\n\
             x-b: 2; q=\"a,b\"\r\nx-b: 3\r\nx-empty: \r\n\r\nbody";
        assert_eq!(received, [expected]);
    });
}

/// Guards against headers of one connection that reach the next.
#[test]
fn headers_of_the_connection_are_dropped() {
    block_on(async {
        let names = ["te", "trailer", "upgrade", "keep-alive", "proxy-connection"];
        let lines: String = names.map(|name| format!("{name}: v\r\n")).concat();
        let head =
            format!("GET /x HTTP/1.1\r\nhost: a\r\nconnection: own\r\nown: v\r\n{lines}\r\n");
        let (_, received) = send(head).await;
        assert_eq!(
            received,
            ["GET /x HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"]
        );
    });
}

/// Guards against a body in chunks that arrives with another framing than its length, or with its trailers.
#[test]
fn chunks_become_a_length_and_trailers_are_dropped() {
    block_on(async {
        let head = "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
             1\r\nb\r\n3\r\nody\r\n0\r\nx-trailer: v\r\n\r\n";
        let (_, received) = send(head).await;
        let expected = "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
        assert_eq!(received, [expected]);
    });
}

/// Guards against a content type that the caller hasn't named, beside one in a line of its own or alone.
#[test_case("", None; "none")]
#[test_case("Content-Type: a/b\r\n", Some("a/b"); "short")]
#[test_case(&format!("content-type: a/b; c={}\r\n", "d".repeat(9000)), Some(&format!("a/b; c={}", "d".repeat(9000))); "longer than async-h1 parses")]
fn the_content_type_is_the_caller_s(line: &str, expected: Option<&str>) {
    block_on(async {
        let limits = ListenerLimits {
            server: ServerLimits {
                head_bytes: 16 * 1024,
                ..ServerLimits::default()
            },
            ..ListenerLimits::default()
        };
        let (address, _, _) = serve(limits, |request, _| async move {
            let values = request.header("content-type").into_iter();
            let values = values.flat_map(|values| values.iter().map(|value| value.as_str()));
            let mut response = Response::new(200);
            response.set_body(values.collect::<Vec<_>>().join("\n"));
            response
        })
        .await;
        let text = format!(
            "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{line}content-length: 4\r\n\r\nbody"
        );
        let mut caller = connect_and_send(address, &text).await;
        let answer = read_rest(&mut caller).await;
        let (_, body) = answer.split_once("\r\n\r\n").unwrap();
        assert_eq!(body, expected.unwrap_or_default());
    });
}

/// Guards against an answer with another content type than its server has named.
#[test_case("content-length: 2\r\n\r\nok", None; "none and a length")]
#[test_case("transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", None; "none and chunks")]
#[test_case("Content-Type: Text/X;Q=1\r\ncontent-length: 2\r\n\r\nok", Some("Text/X;Q=1"); "capitals")]
fn the_content_type_of_an_answer_is_the_server_s(answer: &str, expected: Option<&str>) {
    block_on(async {
        let server = fixed_answer_server(format!("HTTP/1.1 200 OK\r\n{answer}")).await;
        let client = Client::new(PoolLimits::default());
        let target = RequestTarget::parse("/").unwrap();
        let request = target.request(Method::Get);
        let limits = SendLimits::default();
        let sent = client.send(server, request, &limits, Reuse::Fresh).await;
        let headers = sent.unwrap().headers;
        let value = headers.get("content-type").map(|values| values.as_str());
        assert_eq!(value, expected);
    });
}

/// Guards against a content type that the server of callers adds to an answer.
#[test]
fn an_answer_without_a_content_type_is_sent_without_one() {
    block_on(async {
        let (address, _, _) = serve(ListenerLimits::default(), |_, _| async {
            let mut response = Response::new(200);
            response.set_body("body");
            response.remove_header("content-type");
            response
        })
        .await;
        let text = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let mut caller = connect_and_send(address, text).await;
        let answer = read_rest(&mut caller).await;
        assert!(answer.ends_with("body"), "{answer}");
        assert!(!answer.contains("content-type"), "{answer}");
    });
}

/// Guards against parts of a request that are passed on changed in place of a refusal.
#[test_case("get /x HTTP/1.1\r\nhost: a\r\n\r\n"; "method in lower case")]
#[test_case("CONNECT /x HTTP/1.1\r\nhost: a\r\n\r\n"; "tunnel")]
#[test_case("GET * HTTP/1.1\r\nhost: a\r\n\r\n"; "asterisk without options")]
#[test_case("GET  /x HTTP/1.1\r\nhost: a\r\n\r\n"; "two spaces")]
#[test_case("GET /x#y HTTP/1.1\r\nhost: a\r\n\r\n"; "fragment")]
#[test_case("GET /x HTTP/1.1\r\nhost: a\r\nhost: a\r\n\r\n"; "two hosts")]
#[test_case("GET /x HTTP/1.1\r\nhost: a/b\r\n\r\n"; "path in the host")]
#[test_case("GET http://b/x HTTP/1.1\r\nhost: a\r\n\r\n"; "another host in the target")]
#[test_case("GET /x HTTP/1.1\r\nhost: a\r\nx: \u{e9}\r\n\r\n"; "value in UTF-8")]
#[test_case("GET /x HTTP/1.1\r\nhost: a\r\nx: a\r\n b\r\n\r\n"; "folded line")]
#[test_case("GET /x HTTP/1.1\r\nhost: a\r\nx: a\x01\r\n\r\n"; "control character")]
#[test_case("POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\n\r\n"; "chunk extension")]
fn what_would_change_is_refused(text: &'static str) {
    block_on(async move {
        let (status, received) = send(text).await;
        assert_eq!(status, "400");
        assert!(received.is_empty(), "{received:?}");
    });
}

/// Guards against a request that names no host because its maker set none.
#[test]
fn a_request_without_a_host_names_the_server() {
    block_on(async {
        let received = Received::default();
        let kept = received.clone();
        let server = scripted_server(move |_, mut stream| {
            let kept = kept.clone();
            async move {
                let head = read_head(&mut stream).await;
                kept.lock().unwrap().push(head);
            }
        })
        .await;
        let target = RequestTarget::parse("/health/../x?").unwrap();
        let request = target.request(Method::Get);
        let client = Client::new(PoolLimits::default());
        let limits = SendLimits::default();
        let sent = client.send(server, request, &limits, Reuse::Fresh).await;
        assert!(sent.is_err(), "the server closes the connection");
        let head = format!("GET /health/../x? HTTP/1.1\r\nhost: {server}\r\n");
        assert!(received.lock().unwrap()[0].starts_with(&head));
    });
}

/// Guards against a long target that is refused although the limit on heads allows it.
#[test]
fn a_target_may_be_as_long_as_a_head() {
    block_on(async {
        let limits = ListenerLimits {
            server: ServerLimits {
                head_bytes: 64 * 1024,
                ..ServerLimits::default()
            },
            ..ListenerLimits::default()
        };
        let (address, _, _) = serve(limits, |request, _| async move {
            let mut response = Response::new(200);
            let target = RequestTarget::of(&request).unwrap();
            response.set_body(target.as_str());
            response
        })
        .await;
        let target = format!("/{}", "x'".repeat(30_000));
        let request = format!("GET {target} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let mut caller = connect_and_send(address, &request).await;
        let answer = read_rest(&mut caller).await;
        assert!(answer.ends_with(&target));
    });
}
