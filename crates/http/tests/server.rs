//! The resources of callers are limited, and every caller is answered or disconnected.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use crocushold_base::Millis;
use crocushold_http::AnswerEnd;
use crocushold_http::ListenerLimits;
use crocushold_http::ServerError;
use crocushold_http::ServerLimits;
use crocushold_http::serve_connection;
use futures::future::join;
use http_types::Body;
use http_types::Response;
use test_case::test_case;

use support::bind;
use support::block_on;
use support::connect_and_send;
use support::echo;
use support::read_head;
use support::read_rest;
use support::read_until;
use support::serve;
use support::status;
use support::with_timeout;

/// Size limits small enough to be reached in a test, with the default timeouts.
fn small_limits() -> ServerLimits {
    ServerLimits {
        head_bytes: 200,
        body_bytes: 10,
        ..ServerLimits::default()
    }
}

// The caller sends a request for which async-h1 would close the connection without an answer or
// panic, or which it would parse differently from a proxy in front of it (request smuggling). It
// must be answered, and the connection must be closed, because the start of the next request is
// unknown.
#[test_case("GET / HTTP/1.0\r\nhost: a\r\n\r\n", "505"; "older version")]
#[test_case("GET / HTTP/2.0\r\nhost: a\r\n\r\n", "505"; "newer version")]
#[test_case("nonsense\r\n\r\n", "400"; "no request line")]
#[test_case("GET / HTTP/1.1\r\n\r\n", "400"; "no host")]
#[test_case("GET / HTTP/1.1\nhost: a\n\n", "400"; "bare line feeds")]
#[test_case("GET / HTTP/1.1\r\nhost: a\r\nx: \u{e9}\r\n\r\n", "400"; "value that is not ascii")]
#[test_case("GET / HTTP/1.1\r\nhost: a\r\nx y: 1\r\n\r\n", "400"; "space in a name")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n", "400"; "length and chunks")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\n", "400"; "two lengths")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\nabc", "400"; "signed length")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n", "400"; "unknown coding")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n", "413"; "announced body over the limit")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n", "413"; "chunked body over the limit")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "400"; "malformed chunks")]
#[test_case("GET /ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff", "431"; "head over the limit")]
fn invalid_requests_are_answered_and_closed(text: &'static str, expected: &'static str) {
    block_on(async move {
        let addr = echo(small_limits()).await;
        let mut caller = connect_and_send(addr, text).await;
        let answer = read_rest(&mut caller).await;
        assert_eq!(status(&answer), expected, "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    });
}

// The announced length exceeds the limit. The request must not reach the handler, because a handler
// that doesn't read the body would answer it with success.
#[test]
fn announced_body_over_the_limit_never_reaches_the_handler() {
    block_on(async {
        let limits = ListenerLimits {
            server: small_limits(),
            ..ListenerLimits::default()
        };
        let (addr, _, _) = serve(limits, |_, _| async { Response::new(200) }).await;
        let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n";
        let mut caller = connect_and_send(addr, head).await;
        assert_eq!(status(&read_rest(&mut caller).await), "413");
    });
}

// Two requests arrive in one segment. async-h1 would drop the second with its read buffer, and the
// caller would wait forever.
#[test]
fn pipelined_requests_are_all_answered() {
    block_on(async {
        let addr = echo(ServerLimits::default()).await;
        let one = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none";
        let two = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nconnection: close\r\n\r\ntwo";
        let mut caller = connect_and_send(addr, &format!("{one}{two}")).await;
        let answers = read_rest(&mut caller).await;
        let (first, second) = (answers.find("\r\n\r\none"), answers.find("\r\n\r\ntwo"));
        assert!(first.is_some() && first < second, "{answers}");
    });
}

// The caller waits for `100 Continue` before it sends its body. The interim answer must be written
// once, before the final answer and never inside it.
#[test]
fn expect_continue_is_answered_once() {
    block_on(async {
        let addr = echo(ServerLimits::default()).await;
        let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\
                    expect: 100-continue\r\nconnection: close\r\n\r\n";
        let mut caller = connect_and_send(addr, head).await;
        assert_eq!(
            read_head(&mut caller).await,
            "HTTP/1.1 100 Continue\r\n\r\n"
        );
        caller.write_all(b"abc").await.unwrap();
        let answer = read_rest(&mut caller).await;
        assert!(
            answer.starts_with("HTTP/1.1 200") && answer.ends_with("abc"),
            "{answer}"
        );
    });
}

// The caller stops sending in the middle of a request or before it. Each stage has its own timeout;
// otherwise idle callers could occupy all connections.
#[test_case("GET / HT", "408"; "inside the head")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\na", "408"; "inside the body")]
#[test_case("", ""; "before the first request")]
fn idle_callers_are_disconnected(text: &'static str, expected: &'static str) {
    block_on(async move {
        let addr = echo(ServerLimits {
            head_timeout: Millis(50),
            body_timeout: Millis(50),
            idle_timeout: Millis(50),
            ..ServerLimits::default()
        })
        .await;
        let mut caller = connect_and_send(addr, text).await;
        let answer = read_rest(&mut caller).await;
        assert_eq!(status(&answer), expected);
        // The rest of the body may still arrive and would be parsed as a request.
        assert!(
            answer.is_empty() || answer.contains("connection: close"),
            "{answer}"
        );
    });
}

// The caller closes its sending side in the middle of its body. async-h1 treats that as the end of
// the body, so the handler would process a truncated body.
#[test]
fn truncated_body_is_refused() {
    block_on(async {
        let (listener, addr) = bind().await;
        let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf";
        let caller = connect_and_send(addr, head).await;
        caller.shutdown(async_std::net::Shutdown::Write).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (sender, bodies) = async_std::channel::unbounded();
        let limits = ServerLimits::default();
        let _ = with_timeout(serve_connection(stream, &limits, |mut request, _| {
            let sender = sender.clone();
            async move {
                let body = crocushold_http::read_body(&mut request, &ServerLimits::default()).await;
                sender
                    .send(body.map_err(|error| error.status()))
                    .await
                    .unwrap();
                Response::new(200)
            }
        }))
        .await;
        assert_eq!(
            bodies.recv().await.unwrap(),
            Err(http_types::StatusCode::BadRequest)
        );
    });
}

// The caller stops reading while its answer is produced, and the socket's buffers fill up. Without
// a write timeout the answer and the backend server behind it would be blocked forever.
#[test]
fn caller_that_stops_reading_is_disconnected() {
    block_on(async {
        let (listener, addr) = bind().await;
        let caller = connect_and_send(addr, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
        let (stream, _) = listener.accept().await.unwrap();
        let limits = ServerLimits {
            write_timeout: Millis(50),
            ..ServerLimits::default()
        };
        let served = with_timeout(serve_connection(stream, &limits, |_, _| async {
            let mut response = Response::new(200);
            response.set_body(Body::from_reader(
                async_std::io::BufReader::new(async_std::io::repeat(b'x')),
                None,
            ));
            response
        }))
        .await;
        assert!(matches!(served, Err(ServerError::Stalled)), "{served:?}");
        drop(caller);
    });
}

// The body of the handler's answer is shorter than announced. The connection must be closed after
// it; otherwise the caller would read the next answer as the rest of this one.
#[test]
fn truncated_body_of_a_handler_closes_the_connection() {
    block_on(async {
        let (addr, _, _) = serve(ListenerLimits::default(), |_, hangup| async {
            // A `Hangup` that is still alive must not keep the connection open.
            std::mem::forget(hangup);
            let mut response = Response::new(200);
            response.set_body(Body::from_reader(
                async_std::io::Cursor::new("four"),
                Some(20),
            ));
            response
        })
        .await;
        let request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        let mut caller = connect_and_send(addr, &format!("{request}{request}")).await;
        read_head(&mut caller).await;
        assert_eq!(read_rest(&mut caller).await, "four");
    });
}

// The caller disconnects while its request waits, or between two tokens. Nothing is written at that
// time, so only polling the socket detects it. Otherwise the backend server would keep working on
// the request.
#[test]
fn disconnect_is_detected_while_waiting() {
    block_on(async {
        let (sender, waits) = async_std::channel::unbounded();
        let (addr, _, _) = serve(ListenerLimits::default(), move |_, hangup| {
            let sender = sender.clone();
            async move {
                sender.send("started").await.unwrap();
                hangup.wait().await;
                sender.send("hung up").await.unwrap();
                Response::new(200)
            }
        })
        .await;
        let mut caller = connect_and_send(addr, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
        assert_eq!(waits.recv().await.unwrap(), "started");
        // The end of the stream is visible only after these bytes.
        caller.write_all(b"GET /pipelined").await.unwrap();
        drop(caller);
        let noticed = async_std::future::timeout(Duration::from_millis(100), waits.recv()).await;
        assert_eq!(noticed.expect("noticed within 100 ms").unwrap(), "hung up");
    });
}

#[test]
fn disconnect_between_tokens_cancels_the_request() {
    block_on(async {
        let (gone, cancelled) = async_std::channel::unbounded();
        let server = support::scripted_server(move |_, mut stream| {
            let gone = gone.clone();
            async move {
                read_head(&mut stream).await;
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n";
                stream.write_all(head.as_bytes()).await.unwrap();
                // Sends nothing more; only the end of the connection makes it stop.
                read_rest(&mut stream).await;
                gone.send(()).await.unwrap();
            }
        })
        .await;
        let (addr, ends) = support::relay(server).await;
        let mut caller: TcpStream =
            connect_and_send(addr, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
        read_until(&mut caller, "four\r\n").await;
        drop(caller);
        let both = join(cancelled.recv(), ends.recv());
        let noticed = async_std::future::timeout(Duration::from_millis(100), both).await;
        let (server, end) = noticed.expect("cancelled within 100 ms");
        server.unwrap();
        assert_eq!(end.unwrap(), AnswerEnd::Dropped { bytes: 4 });
        assert!(ends.is_empty(), "one end only");
    });
}

/// The framing header of a request is a long line. If it were removed with the other long lines,
/// the parser wouldn't know the framing and would read the body as the next request (request
/// smuggling).
#[test_case("Transfer-Encoding:", "431"; "coding")]
#[test_case("Content-Length:", "431"; "length")]
#[test_case("Transfer-Encoding :", "400"; "space before the colon")]
#[test_case("X-Long: x\r\n ", "400"; "folded line")]
fn long_head_with_a_long_framing_header_is_refused(name: &str, expected: &str) {
    let padding = " ".repeat(9000);
    let head = format!("POST / HTTP/1.1\r\nHost: a\r\n{name}{padding}chunked\r\n\r\n");
    let limits = ServerLimits {
        head_bytes: 16_384,
        ..ServerLimits::default()
    };
    let answer = block_on(async {
        let (listener, addr) = bind().await;
        let server = task::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            serve_connection(stream, &limits, |_, _| async { Response::new(200) }).await
        });
        let mut caller = TcpStream::connect(addr).await.unwrap();
        caller.write_all(head.as_bytes()).await.unwrap();
        let mut answer = vec![0; 12];
        caller.read_exact(&mut answer).await.unwrap();
        drop(caller);
        let _ = server.await;
        String::from_utf8(answer).unwrap()
    });
    assert_eq!(answer, format!("HTTP/1.1 {expected}"));
}
