//! Status lines that are no answer, and answers of which only the status is odd.

#![allow(clippy::unwrap_used)]

mod support;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::SocketAddr;
use crocushold_base::Millis;
use crocushold_http::Answer;
use crocushold_http::Client;
use crocushold_http::Reuse;
use crocushold_http::SendError;
use crocushold_http::SendErrorKind;
use crocushold_http::SendLimits;
use crocushold_http::Stage;
use test_case::test_case;

use support::block_on;
use support::client;
use support::get;
use support::read_head;
use support::read_rest;
use support::scripted_server;
use support::with_timeout;

const FRAMED: &str = "content-length: 2\r\n\r\nok";

/// A server that sends `text` for each request and keeps the connection.
async fn server(text: String) -> SocketAddr {
    scripted_server(move |_, mut stream| {
        let text = text.clone();
        async move {
            while !read_head(&mut stream).await.is_empty() {
                stream.write_all(text.as_bytes()).await.unwrap();
            }
        }
    })
    .await
}

/// Sends a request on a connection that may be reused.
async fn send(client: &Client, server: SocketAddr) -> Result<Answer, SendError> {
    let limits = limits();
    let request = get(server);
    with_timeout(client.send(server, request, &limits, Reuse::Allowed)).await
}

fn limits() -> SendLimits {
    SendLimits {
        head_timeout: Millis(200),
        close_delimited: true,
        ..SendLimits::default()
    }
}

/// Guards against bytes that are no answer and reach the caller as one, or leave their connection to the next
/// request.
#[test_case("HTTP/1.1 000 None"; "000")]
#[test_case("HTTP/1.1 001 One"; "001")]
#[test_case("HTTP/1.1 099 Ninety"; "099")]
#[test_case("HTTP/1.1 101 Switching Protocols"; "101")]
#[test_case("HTTP/1.1 199 Interim"; "199")]
#[test_case("HTTP/1.1 299 Unlisted"; "299")]
#[test_case("HTTP/1.1 600 Beyond"; "600")]
#[test_case("HTTP/1.1 999 Beyond"; "999")]
#[test_case("HTTP/1.1 20 Short"; "two digits")]
#[test_case("HTTP/1.1 2000 OK"; "four digits")]
#[test_case("HTTP/1.1 0200 OK"; "leading zero")]
#[test_case("HTTP/1.1 2x0 OK"; "letter")]
#[test_case("HTTP/1.1 +200 OK"; "plus")]
#[test_case("HTTP/1.1 -200 OK"; "minus")]
#[test_case("HTTP/1.1  200 OK"; "two spaces")]
#[test_case("HTTP/1.1\t200 OK"; "tab")]
#[test_case(" HTTP/1.1 200 OK"; "leading space")]
#[test_case("HTTP/1.1"; "version alone")]
#[test_case("HTTP/1.1 "; "no status")]
#[test_case("HTTP/1.0 200 OK"; "older version")]
#[test_case("HTTP/2.0 200 OK"; "newer version")]
#[test_case("HTTP/1.2 200 OK"; "newer minor version")]
#[test_case("http/1.1 200 OK"; "lower case")]
#[test_case("ICY 200 OK"; "other protocol")]
fn a_status_line_that_is_no_answer_is_an_error(line: &str) {
    let text = format!("{line}\r\n{FRAMED}");
    block_on(async move {
        let server = server(text).await;
        let client = client();
        let sent = send(&client, server);
        let error = sent.await.unwrap_err();
        assert_eq!(error.stage, Stage::Answered, "{error}");
        assert!(
            matches!(error.kind, SendErrorKind::HeadMalformed(_)),
            "{error}"
        );
        assert_eq!(client.idle_connections(), 0);
    });
}

/// Guards against an interim answer that is taken for the answer, alone or with a body.
#[test_case("HTTP/1.1 100 Continue\r\n\r\n"; "100")]
#[test_case("HTTP/1.1 103 Early Hints\r\n\r\n"; "103")]
#[test_case("HTTP/1.1 100 Continue\r\ncontent-length: 2\r\n\r\nok"; "with a body")]
fn an_interim_answer_alone_is_an_error(text: &str) {
    let text = text.to_owned();
    block_on(async move {
        let server = server(text).await;
        let client = client();
        let sent = send(&client, server);
        let error = sent.await.unwrap_err();
        assert!(!error.stage.proves_unsent(), "{error}");
        assert!(
            matches!(
                error.kind,
                SendErrorKind::HeadTimeout | SendErrorKind::HeadMalformed(_)
            ),
            "{error}"
        );
        assert_eq!(client.idle_connections(), 0);
    });
}

/// Guards against a protocol switch that leaves a tunnel: bytes of the caller reach the server, or its bytes
/// the caller.
#[test]
fn a_protocol_switch_closes_the_connection() {
    block_on(async {
        let (sender, rest) = async_std::channel::unbounded();
        let server = scripted_server(move |_, mut stream| {
            let sender = sender.clone();
            async move {
                read_head(&mut stream).await;
                let switch = "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n";
                stream.write_all(switch.as_bytes()).await.unwrap();
                sender.send(read_rest(&mut stream).await).await.unwrap();
            }
        })
        .await;
        let client = client();
        let sent = send(&client, server);
        assert_eq!(sent.await.unwrap_err().stage, Stage::Answered);
        assert_eq!(rest.recv().await.unwrap(), "");
    });
}

/// Guards against a body behind an answer that has none: the bytes would begin the answer to the next request.
#[test_case("204 No Content"; "204")]
#[test_case("304 Not Modified"; "304")]
fn a_body_behind_an_answer_without_one_ends_the_connection(status: &str) {
    let text = format!("HTTP/1.1 {status}\r\n{FRAMED}");
    block_on(async move {
        let server = server(text).await;
        let client = client();
        for _ in 0..2 {
            let sent = send(&client, server);
            let mut answer = sent.await.unwrap();
            let mut body = vec![];
            answer.body.read_to_end(&mut body).await.unwrap();
            assert!(body.is_empty() && !answer.reused);
            assert_eq!(client.idle_connections(), 0);
        }
    });
}

/// Guards against answers that are refused for a reason phrase, which says nothing.
#[test_case("HTTP/1.1 200", 200; "none")]
#[test_case("HTTP/1.1 200 ", 200; "empty")]
#[test_case("HTTP/1.1 205 Reset", 205; "another")]
#[test_case("HTTP/1.1 200  OK", 200; "two spaces")]
fn the_reason_phrase_says_nothing(line: &str, status: u16) {
    let text = format!("{line}\r\n{FRAMED}");
    block_on(async move {
        let server = server(text).await;
        let client = client();
        let sent = send(&client, server);
        let mut answer = sent.await.unwrap();
        let mut body = String::new();
        answer.body.read_to_string(&mut body).await.unwrap();
        assert_eq!((u16::from(answer.status), &*body), (status, "ok"));
    });
}
