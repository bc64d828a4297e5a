//! The client reports the stage that a failed request reached, and never a truncated answer as
//! complete.

#![allow(clippy::unwrap_used)]

mod support;

use async_std::channel::unbounded;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::Shutdown;
use async_std::task;
use crocushold_base::Millis;
use crocushold_http::Answer;
use crocushold_http::AnswerEnd;
use crocushold_http::Client;
use crocushold_http::CutCause;
use crocushold_http::PoolLimits;
use crocushold_http::Reuse;
use crocushold_http::SendErrorKind;
use crocushold_http::SendLimits;
use crocushold_http::Stage;
use futures::future::join;
use http_types::Body;
use http_types::Request;
use test_case::test_case;

use support::EndRecorder;
use support::bind;
use support::block_on;
use support::client;
use support::connect_and_send;
use support::fixed_answer_server;
use support::get;
use support::post;
use support::read_head;
use support::read_rest;
use support::read_until;
use support::relay;
use support::scripted_server;
use support::send;
use support::with_timeout;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn limits() -> SendLimits {
    SendLimits {
        head_timeout: Millis(50),
        stall_timeout: Millis(50),
        ..SendLimits::default()
    }
}

// No process listens at the address. Nothing was sent, so the request may be sent elsewhere.
#[test]
fn refused_connection_proves_unsent() {
    block_on(async {
        let (listener, addr) = bind().await;
        drop(listener);
        let error = send(addr).await.unwrap_err();
        assert_eq!(error.stage, Stage::NotConnected);
        assert!(error.stage.proves_unsent());
    });
}

// The request fails before its first byte: a connection was established, but nothing was written to
// it.
#[test]
fn failure_before_the_first_byte_proves_unsent() {
    block_on(async {
        let server = fixed_answer_server(OK).await;
        // The encoder can't write a head without a host.
        let request = Request::new(
            http_types::Method::Get,
            http_types::Url::parse("data:x").unwrap(),
        );
        let error = with_timeout(client().send(server, request, &limits(), Reuse::Fresh))
            .await
            .unwrap_err();
        assert_eq!(error.stage, Stage::Connected);
        assert!(error.stage.proves_unsent());
    });
}

// The server reads the request and then closes the connection or sends only a part of an answer, or
// one that can't be relayed. The request may have run, so the stage must not prove that it was
// unsent.
#[test_case("", Stage::Written; "closed without an answer")]
#[test_case("HTTP/1.1 200 O", Stage::Answered; "closed inside the head")]
#[test_case("HTTP/1.1 200 OK\n\n", Stage::Answered; "bare line feeds")]
#[test_case("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok", Stage::Answered; "older version")]
#[test_case("HTTP/1.1 101 Switching Protocols\r\n\r\n", Stage::Answered; "upgrade")]
fn failure_after_the_request_left_proves_nothing(answer: &'static str, stage: Stage) {
    block_on(async move {
        let error = send(fixed_answer_server(answer).await).await.unwrap_err();
        assert_eq!(error.stage, stage, "{error}");
        assert!(!error.stage.proves_unsent());
    });
}

#[test]
fn silent_server_times_out_and_sees_the_close() {
    block_on(async {
        let (gone, closed) = unbounded();
        let server = scripted_server(move |_, mut stream| {
            let gone = gone.clone();
            async move {
                read_rest(&mut stream).await;
                gone.send(()).await.unwrap();
            }
        })
        .await;
        let sent = client()
            .send(server, get(server), &limits(), Reuse::Fresh)
            .await;
        let error = sent.unwrap_err();
        assert_eq!(error.stage, Stage::Written);
        assert!(matches!(error.kind, SendErrorKind::HeadTimeout), "{error}");
        closed.recv().await.unwrap();
    });
}

// The server refuses a large request because of its head and closes the connection while the body
// is still being written. The write fails, but the answer must be delivered.
#[test]
fn early_answer_is_read_although_the_write_fails() {
    block_on(async {
        let server = scripted_server(|_, mut stream| async move {
            read_head(&mut stream).await;
            let answer = "HTTP/1.1 413 Payload Too Large\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer.as_bytes()).await.unwrap();
        })
        .await;
        let mut request = get(server);
        request.set_body(Body::from_reader(
            async_std::io::BufReader::new(async_std::io::repeat(b'x')),
            None,
        ));
        let client = client();
        let sent = with_timeout(client.send(server, request, &limits(), Reuse::Allowed)).await;
        let answer = sent.unwrap();
        assert_eq!(u16::from(answer.status), 413);
        drop(answer);
        assert_eq!(client.idle_connections(), 0);
    });
}

// Guards against a reset that the failed write of the request has reported: a read then finds the end
// of the connection, and an answer that ends with its connection would look complete.
#[test]
fn early_answer_delimited_by_a_reset_connection_is_cut_off() {
    block_on(async {
        let server = scripted_server(|_, mut stream| async move {
            read_head(&mut stream).await;
            let answer = "HTTP/1.1 413 Payload Too Large\r\n\r\nhalf of";
            stream.write_all(answer.as_bytes()).await.unwrap();
        })
        .await;
        let mut request = get(server);
        request.set_body(Body::from_reader(
            async_std::io::BufReader::new(async_std::io::repeat(b'x')),
            None,
        ));
        let limits = SendLimits {
            close_delimited: true,
            ..limits()
        };
        let sent = with_timeout(client().send(server, request, &limits, Reuse::Fresh)).await;
        let mut answer = sent.unwrap();
        answer.body.set_end_check(async { true });
        let mut body = String::new();
        let read = with_timeout(answer.body.read_to_string(&mut body)).await;
        assert!(read.is_err(), "{body:?}");
    });
}

// The server stops in the middle of its answer and keeps the connection open.
#[test]
fn stalled_answer_is_cut_off() {
    block_on(async {
        let server = scripted_server(|_, mut stream| async move {
            read_head(&mut stream).await;
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
            stream.write_all(head.as_bytes()).await.unwrap();
            read_rest(&mut stream).await;
        })
        .await;
        let answer = client()
            .send(server, get(server), &limits(), Reuse::Fresh)
            .await
            .unwrap();
        let (sender, ends) = unbounded();
        let mut body = answer.body.into_body(EndRecorder::new(sender));
        let error = body.read_to_end(&mut Vec::new()).await.unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
        drop(body);
        let cause = CutCause::Stalled;
        assert_eq!(
            ends.recv().await.unwrap(),
            AnswerEnd::Cut { bytes: 4, cause }
        );
        assert!(ends.is_empty(), "one end only");
    });
}

// The last line of a chunked answer arrives in two reads. async-h1's decoder then returns `Pending`
// without registering a waker, and the caller would wait for the end of a complete answer until it
// times out. The server sends the last byte only after the client has read everything before it.
#[test]
fn last_line_in_two_reads_does_not_hang() {
    block_on(async {
        let (release, released) = unbounded::<()>();
        let server = scripted_server(move |_, mut stream| {
            let released = released.clone();
            async move {
                read_head(&mut stream).await;
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                let most = format!("{head}4\r\nfour\r\n0\r\n\r");
                stream.write_all(most.as_bytes()).await.unwrap();
                released.recv().await.unwrap();
                stream.write_all(b"\n").await.unwrap();
                read_rest(&mut stream).await;
            }
        })
        .await;
        let mut answer = send(server).await.unwrap();
        // A separate task is polled only when its own wakers are called.
        let reader = task::spawn(async move {
            let mut data = [0; 4];
            answer.body.read_exact(&mut data).await.unwrap();
            release.send(()).await.unwrap();
            let mut rest = Vec::new();
            answer.body.read_to_end(&mut rest).await.unwrap();
            (data, rest.len())
        });
        assert_eq!(with_timeout(reader).await, (*b"four", 0));
    });
}

// The server's answer has no date. async-h1 adds one whose value ends in a line break. If it were
// relayed, it would end the head early, and the remaining headers would become part of the body.
#[test]
fn answer_without_a_date_keeps_its_head_whole() {
    block_on(async {
        let (addr, _ends) = relay(
            fixed_answer_server("HTTP/1.1 200 OK\r\nx-z: 1\r\ncontent-length: 2\r\n\r\nok").await,
        )
        .await;
        let mut caller = connect_and_send(
            addr,
            "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        )
        .await;
        let head = read_head(&mut caller).await;
        assert!(
            head.contains("x-z: 1\r\n") && !head.contains("date: date"),
            "{head}"
        );
        assert_eq!(read_rest(&mut caller).await, "ok");
    });
}

#[test_case("HTTP/1.1 100 Continue\r\n\r\n", "200"; "interim answer first")]
#[test_case("HTTP/1.1 200 OK\r\nx: caf\u{e9}\r\ncontent-length: 0\r\n\r\n", "200"; "header that is not ascii")]
fn interim_or_non_ascii_heads_do_not_lose_the_answer(first: &'static str, expected: &'static str) {
    block_on(async move {
        let server = fixed_answer_server(format!("{first}{OK}")).await;
        let answer = send(server).await.unwrap();
        assert_eq!(answer.status.to_string(), expected);
    });
}

/// A server that answers every request and sends the number of the connection it arrived on.
async fn counting_server() -> (
    async_std::net::SocketAddr,
    async_std::channel::Receiver<usize>,
) {
    let (sender, numbers) = unbounded();
    let server = scripted_server(move |number, mut stream| {
        let sender = sender.clone();
        async move {
            while !read_head(&mut stream).await.is_empty() {
                sender.send(number).await.unwrap();
                stream.write_all(OK.as_bytes()).await.unwrap();
            }
        }
    })
    .await;
    (server, numbers)
}

async fn exchange(client: &Client, server: async_std::net::SocketAddr, reuse: Reuse) {
    let mut answer = client
        .send(server, get(server), &limits(), reuse)
        .await
        .unwrap();
    answer.body.read_to_end(&mut Vec::new()).await.unwrap();
}

// A connection is pooled only after a complete answer, and reused only if the request allows it. If
// a pooled connection is closed, it is unknown whether the request on it ran.
#[test]
fn connections_are_reused_only_after_complete_answers_and_if_allowed() {
    block_on(async {
        let (server, numbers) = counting_server().await;
        let client = client();
        exchange(&client, server, Reuse::Allowed).await;
        exchange(&client, server, Reuse::Allowed).await;
        exchange(&client, server, Reuse::Fresh).await;
        let answer = client
            .send(server, get(server), &limits(), Reuse::Allowed)
            .await
            .unwrap();
        let idle = client.idle_connections();
        // Dropped before its end, so its connection isn't pooled.
        drop(answer);
        assert_eq!(client.idle_connections(), idle);
        let mut seen = Vec::new();
        while let Ok(number) = numbers.try_recv() {
            seen.push(number);
        }
        assert_eq!(&seen[..3], &[0, 0, 1]);
    });
}

#[test_case(PoolLimits { per_server: 1, ..PoolLimits::default() }, 1, true; "to one server")]
#[test_case(PoolLimits { total: 1, ..PoolLimits::default() }, 1, true; "to all servers")]
#[test_case(PoolLimits { idle_timeout: Millis::ZERO, ..PoolLimits::default() }, 2, false; "idle timeout")]
fn pool_is_bounded(pool: PoolLimits, idle: usize, reused: bool) {
    block_on(async move {
        let (server, _numbers) = counting_server().await;
        let client = Client::new(pool);
        exchange(&client, server, Reuse::Fresh).await;
        exchange(&client, server, Reuse::Fresh).await;
        assert_eq!(client.idle_connections(), idle);
        let sent = client
            .send(server, get(server), &limits(), Reuse::Allowed)
            .await;
        assert_eq!(sent.unwrap().reused, reused);
    });
}

// The server closes a pooled connection. The client must detect this before it writes the next
// request, and use a new connection. Otherwise it would be unknown whether the request ran.
#[test]
fn closed_idle_connection_is_not_reused() {
    block_on(async {
        let (release, released) = unbounded::<()>();
        let (closed, wait) = unbounded();
        let server = scripted_server(move |_, mut stream| {
            let (closed, released) = (closed.clone(), released.clone());
            async move {
                read_head(&mut stream).await;
                stream.write_all(OK.as_bytes()).await.unwrap();
                released.recv().await.unwrap();
                stream.shutdown(Shutdown::Both).unwrap();
                closed.send(()).await.unwrap();
            }
        })
        .await;
        let client = client();
        for _ in 0..2 {
            exchange(&client, server, Reuse::Allowed).await;
            assert_eq!(client.idle_connections(), 1);
            release.send(()).await.unwrap();
            wait.recv().await.unwrap();
        }
    });
}

// An answer is cancelled after its end, while its connection carries another request. The cancel
// must not close that connection.
#[test]
fn late_cancel_does_not_hit_the_next_request() {
    block_on(async {
        let (sender, requests) = unbounded();
        let (release, released) = unbounded::<()>();
        let server = scripted_server(move |_, mut stream| {
            let (sender, released) = (sender.clone(), released.clone());
            async move {
                for _ in 0..2 {
                    read_head(&mut stream).await;
                    sender.send(()).await.unwrap();
                    released.recv().await.unwrap();
                    stream.write_all(OK.as_bytes()).await.unwrap();
                }
            }
        })
        .await;
        let client = client();
        release.send(()).await.unwrap();
        let mut first = client
            .send(server, get(server), &limits(), Reuse::Allowed)
            .await
            .unwrap();
        first.body.read_to_end(&mut Vec::new()).await.unwrap();
        requests.recv().await.unwrap();
        let limits = SendLimits::default();
        let second = client.send(server, get(server), &limits, Reuse::Allowed);
        let cancel = async {
            requests.recv().await.unwrap();
            first.cancel.cancel();
            release.send(()).await.unwrap();
        };
        let (second, ()) = join(second, cancel).await;
        let mut second = second.unwrap();
        assert!(second.reused);
        let mut text = String::new();
        second.body.read_to_string(&mut text).await.unwrap();
        assert_eq!(text, "ok");
    });
}

// A caller disconnects: its answer is cancelled, or its body is dropped while the cancel handle
// still exists. The connection to the server must be closed, or the server would keep working on
// the request.
#[test_case(true; "cancelled")]
#[test_case(false; "dropped")]
fn abandoned_answer_closes_the_connection_to_the_server(cancelled: bool) {
    block_on(async move {
        let (gone, closed) = unbounded();
        let server = scripted_server(move |_, mut stream| {
            let gone = gone.clone();
            async move {
                let request = read_until(&mut stream, "\r\n\r\nbody").await;
                assert!(request.contains("content-length: 4"), "{request}");
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";
                stream.write_all(head.as_bytes()).await.unwrap();
                gone.send(read_rest(&mut stream).await).await.unwrap();
            }
        })
        .await;
        let sent = client()
            .send(server, post(server, "body"), &limits(), Reuse::Fresh)
            .await;
        let answer = sent.unwrap();
        let Answer { cancel, body, .. } = answer;
        let mut kept = None;
        if cancelled {
            cancel.cancel();
            kept = Some(body);
        } else {
            drop(body);
        }
        assert_eq!(with_timeout(closed.recv()).await.unwrap(), "");
        drop((cancel, kept));
    });
}

/// Whether a keep-alive timer runs on the connection of this process to `server`, by the kernel's
/// table of sockets.
fn is_probed(server: async_std::net::SocketAddr) -> bool {
    const KEEPALIVE_TIMER: &str = "02:";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let remote = format!(":{:04X}", server.port());
    let mut rows = table
        .lines()
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    rows.any(|row| row[2].ends_with(&remote) && row[5].starts_with(KEEPALIVE_TIMER))
}

/// Guards against requests that wait until their deadline on a path that is cut, where nothing is
/// sent whose loss would show.
#[test]
fn a_connection_that_waits_for_an_answer_is_probed() {
    block_on(async {
        let server = scripted_server(|_, mut stream| async move {
            read_rest(&mut stream).await;
        })
        .await;
        let limits = SendLimits {
            head_timeout: Millis(1500),
            ..SendLimits::default()
        };
        let sender = client();
        let sent = sender.send(server, get(server), &limits, Reuse::Fresh);
        let watch = async {
            while !is_probed(server) {
                task::sleep(Millis(20).into()).await;
            }
        };
        let (sent, ()) = join(sent, watch).await;
        assert!(matches!(sent.unwrap_err().kind, SendErrorKind::HeadTimeout));
    });
}
