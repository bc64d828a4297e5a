//! Tests of the HTTP transport over loopback sockets.

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::task;
use async_std::task::JoinHandle;
use crocushold_base::Millis;
use crocushold_platform::Fetch;
use crocushold_platform::FetchError;
use crocushold_platform::Get;
use crocushold_platform::HttpFetch;
use crocushold_platform::Reply;
use crocushold_platform::Target;
use test_case::test_case;

const LIMIT: usize = 8;

/// Sends a request to a server that writes `answer` and then closes the connection or holds it
/// open.
fn read_from(answer: &'static str, holds: bool) -> Result<Reply, FetchError> {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        let server = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 1024];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            if holds {
                // Returns when the client closes.
                let _ = stream.read(&mut request).await;
            }
        });
        let get = Get {
            address,
            target: Target::new("/v1/config"),
            timeout: Millis(200),
            limit: LIMIT,
            ..Get::default()
        };
        let reply = HttpFetch::default().get(get).await;
        server.await;
        reply
    })
}

#[test]
fn a_reply_carries_status_headers_and_body() {
    let text = "HTTP/1.1 429 x\r\nRetry-After: 7\r\nContent-Length: 4\r\n\r\nwait";
    let reply = read_from(text, false).expect("whole");
    assert_eq!((reply.status, &*reply.body), (429, "wait"));
    assert_eq!(reply.number("retry-after"), Some(7));
}

/// Guards against a value that reaches the platform as another one, since a parser of URLs removes dot segments.
#[test_case(".."; "the parent")]
#[test_case("."; "a dot")]
#[test_case("a/../b"; "a path")]
#[test_case("O'Brien?"; "punctuation")]
fn a_target_arrives_as_it_was_built(team: &'static str) {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let target = Target::new("/parts").segment(team).parameter("after", team);
        let get = Get {
            address: listener.local_addr().expect("bound").to_string(),
            target: target.clone(),
            timeout: Millis(2000),
            ..Get::default()
        };
        let server = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut bytes = [0; 1024];
            let count = stream.read(&mut bytes).await.expect("a request");
            String::from_utf8_lossy(&bytes[..count]).into_owned()
        });
        let _ = HttpFetch::default().get(get).await;
        let text = server.await;
        assert!(
            text.starts_with(&format!("GET {target} HTTP/1.1\r\n")),
            "{text}"
        );
    });
}

/// The platform closes the connection or hangs within a document, or sends one without a length or
/// over the limit. None of these may be accepted as a shorter document.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf", false; "short body")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf", true; "body that hangs")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnine byte", true; "body over the limit")]
#[test_case("HTTP/1.1 200 OK\r\n\r\nno end", false; "body without length")]
#[test_case("", true; "no answer")]
#[test_case("", false; "closed at once")]
#[test_case("SSH-2.0-x\r\n\r\n", true; "another protocol")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\u{fffd}", false; "broken text")]
fn a_reply_that_is_not_whole_is_an_error(answer: &'static str, holds: bool) {
    assert!(read_from(answer, holds).is_err());
}

/// Guards against a document that is taken from bytes that are no answer.
#[test_case("HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok"; "000")]
#[test_case("HTTP/1.1 099 None\r\nContent-Length: 2\r\n\r\nok"; "099")]
#[test_case("HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nok"; "interim alone")]
#[test_case("HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\nok"; "101")]
#[test_case("HTTP/1.1 999 Beyond\r\nContent-Length: 2\r\n\r\nok"; "999")]
#[test_case("HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok"; "four digits")]
#[test_case("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"; "older version")]
fn a_reply_whose_status_line_is_no_answer_is_an_error(answer: &'static str) {
    assert!(read_from(answer, true).is_err());
}

/// A GET request to a server whose answer arrives byte by byte.
async fn trickled_get(stall_timeout: Millis) -> (Get, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let get = Get {
        address,
        target: Target::new("/v1/config"),
        timeout: Millis(200),
        stall_timeout,
        limit: 1 << 20,
    };
    (get, task::spawn(trickle(listener)))
}

/// A server that sends single bytes keeps each wait for data short. The deadline applies to the
/// whole answer, since otherwise the read would never end.
#[test]
fn a_trickled_answer_ends_at_the_deadline() {
    let reply = task::block_on(async {
        let (get, server) = trickled_get(Millis(200)).await;
        let reply = HttpFetch::default().get(get).await;
        server.await;
        reply
    });
    assert_eq!(reply, Err(FetchError::Timeout));
}

/// An answer that begins late, or is long, must not be given up while it arrives: on a narrow link
/// each further try would end in the same way. Only the beginning of the answer, a pause in it and
/// its whole duration are limited.
#[test_case(Millis(100), Millis(60_000), true; "arrives slowly")]
#[test_case(Millis(10), Millis(60_000), false; "pauses too long")]
#[test_case(Millis(100), Millis(500), false; "takes too long as a whole")]
fn an_answer_that_has_begun_is_limited_by_its_pauses(stall: Millis, total: Millis, whole: bool) {
    let reply = task::block_on(async {
        let (get, server) = trickled_get(stall).await;
        let incoming = HttpFetch::default().begin(&get).await.expect("it begins");
        let reply = incoming.read_within(total).await;
        server.await;
        reply
    });
    assert_eq!(reply.is_ok(), whole);
}

/// Declares 100 bytes and writes one every 20 ms until the client closes.
async fn trickle(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";
    stream.write_all(head).await.expect("connected");
    for _ in 0..100 {
        if stream.write_all(b"x").await.is_err() {
            return;
        }
        task::sleep(Millis(20).into()).await;
    }
}
