//! What callers can send and hold is bounded, and every caller gets an answer or a close.

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
use support::call;
use support::echo;
use support::read_head;
use support::read_rest;
use support::read_until;
use support::run;
use support::serve;
use support::soon;
use support::status;

/// Limits small enough to be reached in a test, times long enough not to be.
fn small() -> ServerLimits {
    ServerLimits {
        head_bytes: 200,
        body_bytes: 10,
        ..ServerLimits::default()
    }
}

// The caller sends something that async-h1 would refuse by closing without a word, would panic on,
// or would read otherwise than the party before it (request smuggling). It must get an answer, and
// the connection must close, since nobody knows where the next request starts.
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
fn what_cannot_be_served_is_answered_and_closed(text: &'static str, expected: &'static str) {
    run(async move {
        let addr = echo(small()).await;
        let mut caller = call(addr, text).await;
        let answer = read_rest(&mut caller).await;
        assert_eq!(status(&answer), expected, "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    });
}

// The announced length alone is too much. The handler must not see the request: one that doesn't
// read the body would answer as if it were served.
#[test]
fn announced_body_over_the_limit_never_reaches_the_handler() {
    run(async {
        let limits = ListenerLimits {
            server: small(),
            ..ListenerLimits::default()
        };
        let (addr, _, _) = serve(limits, |_, _| async { Response::new(200) }).await;
        let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n";
        let mut caller = call(addr, head).await;
        assert_eq!(status(&read_rest(&mut caller).await), "413");
    });
}

// Two requests arrive in one segment. async-h1 drops the second with its read buffer, and its
// caller waits for ever.
#[test]
fn pipelined_requests_are_all_answered() {
    run(async {
        let addr = echo(ServerLimits::default()).await;
        let one = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none";
        let two = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nconnection: close\r\n\r\ntwo";
        let mut caller = call(addr, &format!("{one}{two}")).await;
        let answers = read_rest(&mut caller).await;
        let (first, second) = (answers.find("\r\n\r\none"), answers.find("\r\n\r\ntwo"));
        assert!(first.is_some() && first < second, "{answers}");
    });
}

// The caller waits for leave to send its body. The leave must come before the answer and never
// inside it.
#[test]
fn body_that_waits_for_leave_gets_it_once() {
    run(async {
        let addr = echo(ServerLimits::default()).await;
        let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\
                    expect: 100-continue\r\nconnection: close\r\n\r\n";
        let mut caller = call(addr, head).await;
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

// The caller starts something and goes quiet. Each stage has its own bound, or quiet callers would
// hold every connection.
#[test_case("GET / HT", "408"; "inside the head")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\na", "408"; "inside the body")]
#[test_case("", ""; "before the first request")]
fn quiet_callers_are_let_go(text: &'static str, expected: &'static str) {
    run(async move {
        let addr = echo(ServerLimits {
            head_timeout: Millis(50),
            body_timeout: Millis(50),
            idle_timeout: Millis(50),
            ..ServerLimits::default()
        })
        .await;
        let mut caller = call(addr, text).await;
        let answer = read_rest(&mut caller).await;
        assert_eq!(status(&answer), expected);
        // The rest of the body may still come and would be read as a request.
        assert!(
            answer.is_empty() || answer.contains("connection: close"),
            "{answer}"
        );
    });
}

// The caller closes its sending side in the middle of its body. async-h1 reads that as the end of
// the body, so the handler would act on half of it.
#[test]
fn body_that_ends_short_is_refused() {
    run(async {
        let (listener, addr) = bind().await;
        let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf";
        let caller = call(addr, head).await;
        caller.shutdown(async_std::net::Shutdown::Write).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (sender, bodies) = async_std::channel::unbounded();
        let limits = ServerLimits::default();
        let _ = soon(serve_connection(stream, &limits, |mut request, _| {
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

// The caller stops reading while its answer is produced. The socket's buffers fill; without a bound
// on the write the answer, and the server behind it, would be held for ever.
#[test]
fn caller_that_stops_reading_is_cut() {
    run(async {
        let (listener, addr) = bind().await;
        let caller = call(addr, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
        let (stream, _) = listener.accept().await.unwrap();
        let limits = ServerLimits {
            write_timeout: Millis(50),
            ..ServerLimits::default()
        };
        let served = soon(serve_connection(stream, &limits, |_, _| async {
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

// The handler's own body is shorter than it says. The connection must end there: on a kept one the
// next answer's bytes would complete this one.
#[test]
fn handlers_short_body_closes_the_connection() {
    run(async {
        let (addr, _, _) = serve(ListenerLimits::default(), |_, hangup| async {
            // Whoever still watches for the hang-up must not keep the connection open.
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
        let mut caller = call(addr, &format!("{request}{request}")).await;
        read_head(&mut caller).await;
        assert_eq!(read_rest(&mut caller).await, "four");
    });
}

// The caller hangs up while its request waits, or between two tokens. Nothing is written then, so
// only watching the socket tells; otherwise the server behind goes on working for nobody.
#[test]
fn hang_up_is_noticed_while_waiting() {
    run(async {
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
        let mut caller = call(addr, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
        assert_eq!(waits.recv().await.unwrap(), "started");
        // The end of the connection shows only behind these.
        caller.write_all(b"GET /pipelined").await.unwrap();
        drop(caller);
        let noticed = async_std::future::timeout(Duration::from_millis(100), waits.recv()).await;
        assert_eq!(noticed.expect("noticed within 100 ms").unwrap(), "hung up");
    });
}

#[test]
fn hang_up_between_tokens_cancels_the_server() {
    run(async {
        let (gone, cancelled) = async_std::channel::unbounded();
        let server = support::fake(move |_, mut stream| {
            let gone = gone.clone();
            async move {
                read_head(&mut stream).await;
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n";
                stream.write_all(head.as_bytes()).await.unwrap();
                // Silent from here; only the end of the connection tells it to stop.
                read_rest(&mut stream).await;
                gone.send(()).await.unwrap();
            }
        })
        .await;
        let (addr, ends) = support::relay(server).await;
        let mut caller: TcpStream = call(addr, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
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

/// A head hides its framing in a long line. Taken out with the other long lines, the framing would be
/// unknown to the parser, and the body would be read as the next request: smuggled past the router.
#[test_case("Transfer-Encoding:"; "coding")]
#[test_case("Content-Length:"; "length")]
#[test_case("Transfer-Encoding :"; "space before the colon")]
#[test_case("X-Long: x\r\n "; "a line that goes on")]
fn long_head_that_hides_its_framing_is_refused(name: &str) {
    let padding = " ".repeat(9000);
    let head = format!("POST / HTTP/1.1\r\nHost: a\r\n{name}{padding}chunked\r\n\r\n");
    let limits = ServerLimits {
        head_bytes: 16_384,
        ..ServerLimits::default()
    };
    let answer = run(async {
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
    assert_eq!(answer, "HTTP/1.1 431");
}
