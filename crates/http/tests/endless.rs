//! Servers that send without end: the caller gets an error or an answer that is visibly broken off, within the
//! bounds in bytes and in time, and the connection is closed.

#![allow(clippy::unwrap_used)]

mod support;

use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use async_std::channel::Receiver;
use async_std::channel::unbounded;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::SocketAddr;
use async_std::net::TcpStream;
use async_std::task;
use crocushold_base::Millis;
use crocushold_http::AnswerEnd;
use crocushold_http::AnswerTimeout;
use crocushold_http::Client;
use crocushold_http::CutCause;
use crocushold_http::ListenerLimits;
use crocushold_http::PoolLimits;
use crocushold_http::Reuse;
use crocushold_http::SendError;
use crocushold_http::SendErrorKind;
use crocushold_http::SendLimits;
use crocushold_http::ServerLimits;
use crocushold_http::Stage;
use crocushold_http::relay_headers;
use crocushold_standins::Flood;
use crocushold_standins::Pace;
use futures::poll;
use http_types::Method;
use http_types::Response;
use test_case::test_case;

use support::EndRecorder;
use support::block_on;
use support::client;
use support::connect_and_send;
use support::echo;
use support::get;
use support::read_head;
use support::scripted_server;
use support::serve;
use support::with_timeout;

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

/// Deadline of a request.
const DEADLINE: Millis = Millis(1000);

/// Time after the deadline in which an exchange has ended, also on a busy machine.
const SLACK: Duration = Duration::from_secs(3);

/// Deadline of a request whose caller doesn't read, after which all buffers on the way are full.
const UNREAD_DEADLINE: Millis = Millis(3000);

/// Body of a request that doesn't fit into the buffers of the sockets.
const UPLOAD_BYTES: usize = 32 * 1024 * 1024;

/// Bytes that fit into the buffers of the sockets.
const SHORT_BYTES: usize = 32 * 1024;

/// Time in which they arrive.
const ARRIVAL: Duration = Duration::from_millis(300);

/// Turns that reading them takes at least: a piece counts 256 bytes beside its own, and a turn is 64 KiB.
const TURNS: usize = 4;

const SLOW: Pace = Pace::Bytewise(Duration::from_millis(2));

fn limits() -> SendLimits {
    SendLimits {
        head_timeout: DEADLINE,
        stall_timeout: DEADLINE,
        close_delimited: true,
        answer_bytes: 512 * 1024,
        event_bytes: 128 * 1024,
        ..SendLimits::default()
    }
}

/// Limits that leave the bytes of an answer to its deadline.
fn unlimited() -> SendLimits {
    SendLimits {
        answer_bytes: u64::MAX,
        event_bytes: u64::MAX,
        ..limits()
    }
}

/// Starts a server that answers each request with `flood`. The receiver gets a message for each connection
/// that its peer has closed.
async fn flooding_server(flood: Flood, pace: Pace) -> (SocketAddr, Receiver<()>) {
    let (sender, closed) = unbounded();
    let server = scripted_server(move |_, mut stream| {
        let sender = sender.clone();
        async move {
            read_head(&mut stream).await;
            let _ = flood.send(&mut stream, "", pace).await;
            sender.try_send(()).unwrap();
        }
    })
    .await;
    (server, closed)
}

/// Sends one request in a task of its own, so that a task which never yields fails the test and doesn't stop it.
async fn send_to(server: SocketAddr) -> Result<crocushold_http::Answer, SendError> {
    let request = get(server);
    let sent = task::spawn(async move {
        let client = client();
        client.send(server, request, &limits(), Reuse::Fresh).await
    });
    with_timeout(sent).await
}

async fn relay_to(server: SocketAddr) -> (SocketAddr, Receiver<AnswerEnd>, Client) {
    relay_with(server, limits(), DEADLINE).await
}

/// Starts a relay that sends each request to `server` with a deadline.
async fn relay_with(
    server: SocketAddr,
    limits: SendLimits,
    deadline: Millis,
) -> (SocketAddr, Receiver<AnswerEnd>, Client) {
    let (sender, ends) = unbounded();
    let client = client();
    let kept = client.clone();
    let (addr, _, _) = serve(ListenerLimits::default(), move |_, _| {
        let client = client.clone();
        let sender = sender.clone();
        let limits = limits.clone();
        async move {
            let sent = client.send(server, get(server), &limits, Reuse::Allowed);
            let Ok(mut answer) = sent.await else {
                return Response::new(502);
            };
            let mut response = Response::new(answer.status);
            relay_headers(&answer.headers, response.as_mut());
            answer.body.set_total_timeout(deadline);
            let content_type = answer.headers.get("content-type");
            if content_type.is_some_and(|values| values.last().as_str() == "text/event-stream") {
                answer.body.expect_events();
            }
            response.ext_mut().insert(AnswerTimeout(deadline));
            response.set_body(answer.body.into_body(EndRecorder::new(sender)));
            response
        }
    })
    .await;
    (addr, ends, kept)
}

/// Reads until the connection ends and returns the last bytes and their number.
async fn read_out(caller: &mut TcpStream) -> (Vec<u8>, usize) {
    let mut tail = Vec::new();
    let mut count = 0;
    let mut chunk = vec![0; 64 * 1024];
    loop {
        match with_timeout(caller.read(&mut chunk)).await {
            Ok(0) | Err(_) => return (tail, count),
            Ok(read) => {
                count += read;
                tail.extend_from_slice(&chunk[..read]);
                let surplus = tail.len().saturating_sub(64);
                tail.drain(..surplus);
            }
        }
    }
}

// A head that never ends must neither fill the memory nor hold the request beyond its timeout, and mustn't keep
// an executor thread from its other tasks.
#[test_case(Flood::Garbage, Pace::Fast)]
#[test_case(Flood::Garbage, SLOW)]
#[test_case(Flood::HeadLine, Pace::Fast)]
#[test_case(Flood::HeadLine, SLOW)]
#[test_case(Flood::HeadLines, Pace::Fast)]
#[test_case(Flood::HeadLines, SLOW)]
#[test_case(Flood::BlankLines, Pace::Fast)]
#[test_case(Flood::BlankLines, SLOW)]
#[test_case(Flood::InterimAnswers, Pace::Fast)]
#[test_case(Flood::InterimAnswers, SLOW)]
fn head_without_end_is_an_error(flood: Flood, pace: Pace) {
    block_on(async move {
        let (server, closed) = flooding_server(flood, pace).await;
        let began = Instant::now();
        let error = send_to(server).await.unwrap_err();
        assert!(!error.stage.proves_unsent(), "{error}");
        assert!(!error.is_disconnect(), "{error}");
        assert!(began.elapsed() < Duration::from(DEADLINE) + SLACK);
        with_timeout(closed.recv()).await.unwrap();
    });
}

/// Guards against bytes that come before the request has been written, and are read without end or taken for a proof
/// that the request wasn't run.
#[test_case(false, 0, Flood::Garbage, Pace::Fast; "garbage before the request")]
#[test_case(false, 0, Flood::Garbage, SLOW; "garbage before the request, slowly")]
#[test_case(false, 0, Flood::InterimAnswers, Pace::Fast; "interim answers before the request")]
#[test_case(true, UPLOAD_BYTES, Flood::Garbage, Pace::Fast; "garbage while the body is written")]
#[test_case(true, UPLOAD_BYTES, Flood::HeadLine, Pace::Fast; "a head while the body is written")]
#[test_case(true, UPLOAD_BYTES, Flood::InterimAnswers, Pace::Fast; "interim answers while the body is written")]
fn bytes_before_the_request_was_written_are_an_error(
    reads_head: bool,
    bytes: usize,
    flood: Flood,
    pace: Pace,
) {
    block_on(async move {
        let (sender, closed) = unbounded();
        let server = scripted_server(move |_, mut stream| {
            let sender = sender.clone();
            async move {
                if reads_head {
                    read_head(&mut stream).await;
                }
                let _ = flood.send(&mut stream, "", pace).await;
                sender.try_send(()).unwrap();
            }
        })
        .await;
        let mut request = get(server);
        request.set_method(Method::Post);
        request.set_body(vec![b'x'; bytes]);
        let began = Instant::now();
        let sent = task::spawn(async move {
            let client = client();
            let sent = client.send(server, request, &limits(), Reuse::Fresh).await;
            (sent, client.idle_connections())
        });
        let (sent, idle) = with_timeout(sent).await;
        let error = sent.unwrap_err();
        assert!(!error.stage.proves_unsent(), "{error}");
        assert!(!error.is_disconnect(), "{error}");
        assert!(began.elapsed() < Duration::from(DEADLINE) + SLACK);
        assert_eq!(idle, 0);
        with_timeout(closed.recv()).await.unwrap();
    });
}

// A server may send a number of interim answers before the final one.
#[test]
fn interim_answers_before_the_final_one_are_skipped() {
    block_on(async {
        let server = scripted_server(|_, mut stream| async move {
            read_head(&mut stream).await;
            let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1000);
            let answer = format!("{interim}HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await.unwrap();
        })
        .await;
        let answer = send_to(server).await.unwrap();
        assert_eq!(answer.status, 200);
    });
}

// A body that never ends must end for the caller as visibly broken off: at the bound of its bytes, or at the
// deadline. The connection to the server is closed and not kept.
#[test_case(Flood::ChunkSize, Pace::Fast, &[CutCause::Malformed])]
#[test_case(Flood::ChunkSize, SLOW, &[CutCause::Stalled, CutCause::Overdue])]
#[test_case(Flood::ChunkExtension, Pace::Fast, &[CutCause::Malformed])]
#[test_case(Flood::ChunkExtension, SLOW, &[CutCause::Malformed])]
#[test_case(Flood::Trailer, Pace::Fast, &[CutCause::Malformed])]
#[test_case(Flood::Trailer, SLOW, &[CutCause::Stalled, CutCause::Overdue])]
#[test_case(Flood::Trailers, Pace::Fast, &[CutCause::Malformed])]
#[test_case(Flood::Trailers, SLOW, &[CutCause::Malformed, CutCause::Stalled, CutCause::Overdue])]
#[test_case(Flood::Length, Pace::Fast, &[CutCause::TooLarge])]
#[test_case(Flood::Chunks, Pace::Fast, &[CutCause::TooLarge])]
#[test_case(Flood::Chunks, SLOW, &[CutCause::Overdue])]
#[test_case(Flood::UntilClose, Pace::Fast, &[CutCause::TooLarge])]
#[test_case(Flood::UntilClose, SLOW, &[CutCause::Overdue])]
#[test_case(Flood::EventLine, Pace::Fast, &[CutCause::TooLarge])]
#[test_case(Flood::EventLine, SLOW, &[CutCause::Overdue])]
#[test_case(Flood::EventLines, Pace::Fast, &[CutCause::TooLarge])]
#[test_case(Flood::EventLines, SLOW, &[CutCause::Overdue])]
#[test_case(Flood::EventLineUntilClose, Pace::Fast, &[CutCause::TooLarge])]
#[test_case(Flood::EventLineUntilClose, SLOW, &[CutCause::Overdue])]
fn body_without_end_is_broken_off(flood: Flood, pace: Pace, causes: &'static [CutCause]) {
    block_on(async move {
        let (server, closed) = flooding_server(flood, pace).await;
        let (addr, ends, client) = relay_to(server).await;
        let began = Instant::now();
        let mut caller = connect_and_send(addr, GET).await;
        let mut status = [0; 12];
        with_timeout(caller.read_exact(&mut status)).await.unwrap();
        let (tail, count) = read_out(&mut caller).await;
        assert!(began.elapsed() < Duration::from(DEADLINE) + SLACK);
        if flood == Flood::Length {
            // The announced length is refused before the first byte is relayed.
            assert_eq!(&status, b"HTTP/1.1 502");
            assert!(count < 1024, "{count} bytes");
        } else {
            assert!(!tail.ends_with(b"0\r\n\r\n"), "looks complete");
            match with_timeout(ends.recv()).await.unwrap() {
                AnswerEnd::Cut { cause, .. } => assert!(causes.contains(&cause), "{cause:?}"),
                end => panic!("{end:?}"),
            }
        }
        with_timeout(closed.recv()).await.unwrap();
        assert_eq!(client.idle_connections(), 0);
    });
}

// The connection of an answer that is cut off must be closed at once, and not when its reader lets go of it: the
// reader may wait for a caller that doesn't read, and the server would go on waiting for room.
#[test_case(Flood::Chunks)]
#[test_case(Flood::UntilClose)]
#[test_case(Flood::EventLine)]
fn connection_of_an_answer_that_is_cut_off_is_closed_before_its_reader_is_dropped(flood: Flood) {
    block_on(async move {
        let (server, closed) = flooding_server(flood, Pace::Fast).await;
        let mut answer = send_to(server).await.unwrap();
        if flood == Flood::EventLine {
            answer.body.expect_events();
        }
        let mut bytes = Vec::new();
        let read = with_timeout(answer.body.read_to_end(&mut bytes)).await;
        read.unwrap_err();
        with_timeout(closed.recv()).await.unwrap();
        drop(answer);
    });
}

// An answer whose announced length exceeds the limit is an error before its first byte.
#[test]
fn announced_length_above_the_limit_is_an_error() {
    block_on(async {
        let (server, closed) = flooding_server(Flood::Length, Pace::Fast).await;
        let error = send_to(server).await.unwrap_err();
        assert_eq!(error.stage, Stage::Answered);
        assert!(matches!(error.kind, SendErrorKind::BodyTooLarge), "{error}");
        with_timeout(closed.recv()).await.unwrap();
    });
}

// Bytes after a whole answer belong to no request. The answer is relayed whole, or broken off where the bytes
// came with its last chunk; the connection is closed and not used again.
#[test_case(Flood::AfterLength, Pace::Fast)]
#[test_case(Flood::AfterLength, SLOW)]
#[test_case(Flood::AfterChunks, Pace::Fast)]
#[test_case(Flood::AfterChunks, SLOW)]
#[test_case(Flood::EmptyChunks, Pace::Fast)]
#[test_case(Flood::EmptyChunks, SLOW)]
fn bytes_after_an_answer_reach_no_caller(flood: Flood, pace: Pace) {
    block_on(async move {
        let (server, closed) = flooding_server(flood, pace).await;
        let (addr, ends, client) = relay_to(server).await;
        for _ in 0..2 {
            let mut caller = connect_and_send(addr, GET).await;
            let (tail, _) = read_out(&mut caller).await;
            let text = String::from_utf8_lossy(&tail);
            assert_eq!(text.matches("HTTP/1.1").count(), 0, "{text}");
            match with_timeout(ends.recv()).await.unwrap() {
                AnswerEnd::Complete { bytes } => assert!(bytes <= 4),
                AnswerEnd::Cut { .. } => assert!(!text.ends_with("0\r\n\r\n"), "{text}"),
                end => panic!("{end:?}"),
            }
            if pace != Pace::Fast {
                // The next request would be written before the bytes arrive.
                with_timeout(closed.recv()).await.unwrap();
            }
        }
        if pace == Pace::Fast {
            with_timeout(closed.recv()).await.unwrap();
            with_timeout(closed.recv()).await.unwrap();
        }
        assert_eq!(client.idle_connections(), 0);
    });
}

/// Guards against a connection that is kept, until it is looked at the next time, though bytes came behind its answer.
#[test_case(Flood::AfterLength)]
#[test_case(Flood::EmptyChunks)]
fn connection_with_bytes_behind_an_answer_is_closed_at_once(flood: Flood) {
    block_on(async move {
        let (server, closed) = flooding_server(flood, Pace::Fast).await;
        let client = client();
        let limits = limits();
        let sent = client.send(server, get(server), &limits, Reuse::Fresh);
        let mut answer = with_timeout(sent).await.unwrap();
        let mut bytes = Vec::new();
        // Chunks that are followed by bytes may be an error.
        let _ = with_timeout(answer.body.read_to_end(&mut bytes)).await;
        assert_eq!(client.idle_connections(), 0);
        with_timeout(closed.recv()).await.unwrap();
    });
}

/// Polls without a pause until the future is ready, and returns the number of polls.
async fn polls<T>(future: impl Future<Output = T>) -> usize {
    let mut future = pin!(future);
    let mut polls = 1;
    while poll!(future.as_mut()).is_pending() {
        polls += 1;
    }
    polls
}

/// Guards against a reader of a body that keeps its thread for as long as bytes are at hand.
#[test]
fn reader_of_a_body_lets_other_tasks_run() {
    block_on(async {
        let body = "x".repeat(SHORT_BYTES);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {SHORT_BYTES}\r\n\r\n");
        let server = support::fixed_answer_server(head + &body).await;
        let mut answer = send_to(server).await.unwrap();
        task::sleep(ARRIVAL).await;
        let read = async {
            let mut piece = [0; 16];
            while answer.body.read(&mut piece).await.unwrap() > 0 {}
        };
        let polls = polls(read).await;
        assert!(polls > TURNS, "{polls} polls");
    });
}

/// Guards against interim answers that keep the thread which reads them for as long as they are at hand.
#[test]
fn reader_of_interim_answers_lets_other_tasks_run() {
    block_on(async {
        let server = scripted_server(|_, mut stream| async move {
            let interim = "HTTP/1.1 100 Continue\r\n\r\n";
            let text = interim.repeat(SHORT_BYTES / interim.len());
            let answer = format!("{text}HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await.unwrap();
            read_head(&mut stream).await;
        })
        .await;
        let client = client();
        let limits = limits();
        let mut sent = pin!(client.send(server, get(server), &limits, Reuse::Fresh));
        // Opens the connection.
        assert!(poll!(sent.as_mut()).is_pending());
        task::sleep(ARRIVAL).await;
        let polls = polls(sent).await;
        assert!(polls > TURNS, "{polls} polls");
    });
}

// A server sends on a connection that is kept for the next request. The connection must be closed although no
// request comes: its receive buffer would stay full until then.
#[test]
fn idle_connection_that_receives_bytes_is_closed() {
    block_on(async {
        let (closed_sender, closed) = unbounded();
        let server = scripted_server(move |_, mut stream| {
            let closed = closed_sender.clone();
            async move {
                read_head(&mut stream).await;
                let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(answer.as_bytes()).await.unwrap();
                task::sleep(Duration::from_millis(100)).await;
                let _ = Flood::BlankLines.send(&mut stream, "", Pace::Fast).await;
                closed.try_send(()).unwrap();
            }
        })
        .await;
        let client = Client::new(PoolLimits {
            idle_timeout: Millis::from_secs(60),
            ..PoolLimits::default()
        });
        let limits = limits();
        let sent = client.send(server, get(server), &limits, Reuse::Allowed);
        drop(sent.await.unwrap());
        assert_eq!(client.idle_connections(), 1);
        with_timeout(closed.recv()).await.unwrap();
        assert_eq!(client.idle_connections(), 0);
    });
}

// A caller that doesn't read holds the server back, and both are let go at the request's deadline.
#[test_case(Flood::Chunks)]
#[test_case(Flood::UntilClose)]
#[test_case(Flood::EventLines)]
fn deadline_ends_the_exchange_of_a_caller_that_does_not_read(flood: Flood) {
    block_on(async move {
        let (server, closed) = flooding_server(flood, Pace::Fast).await;
        let (addr, ends, _) = relay_with(server, unlimited(), UNREAD_DEADLINE).await;
        let began = Instant::now();
        let _caller = connect_and_send(addr, GET).await;
        with_timeout(ends.recv()).await.unwrap();
        assert!(began.elapsed() < Duration::from(UNREAD_DEADLINE) + SLACK);
        with_timeout(closed.recv()).await.unwrap();
    });
}

// A caller that reads a byte now and then makes progress, and mustn't hold the exchange beyond its deadline.
#[test]
fn deadline_ends_the_exchange_of_a_caller_that_reads_slowly() {
    block_on(async {
        let (server, _) = flooding_server(Flood::UntilClose, Pace::Fast).await;
        let (addr, ends, _) = relay_with(server, unlimited(), UNREAD_DEADLINE).await;
        let mut caller = connect_and_send(addr, GET).await;
        task::spawn(async move {
            let mut byte = [0; 64];
            while caller.read(&mut byte).await.is_ok_and(|count| count > 0) {
                task::sleep(Duration::from_millis(20)).await;
            }
        });
        let began = Instant::now();
        with_timeout(ends.recv()).await.unwrap();
        assert!(began.elapsed() < Duration::from(UNREAD_DEADLINE) + SLACK);
    });
}

// An answer that had arrived by its deadline is delivered, also to a caller that reads it after that.
#[test]
fn answer_that_has_arrived_is_delivered_after_the_deadline() {
    block_on(async {
        let body = "x".repeat(100 * 1024);
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let server = support::fixed_answer_server(answer).await;
        let (addr, ends, _) = relay_to(server).await;
        let mut caller = connect_and_send(addr, GET).await;
        task::sleep(Duration::from(DEADLINE) * 2).await;
        let (_, count) = read_out(&mut caller).await;
        assert!(count > body.len());
        let bytes = body.len() as u64;
        assert_eq!(ends.recv().await.unwrap(), AnswerEnd::Complete { bytes });
    });
}

// Whole events are no endless answer: their stream is bounded by its deadline alone, however many bytes it has.
#[test]
fn stream_of_whole_events_is_bounded_by_its_deadline_alone() {
    block_on(async {
        let event = format!("data: {}\n\n", "x".repeat(1000));
        let count = 1000;
        let body = event.repeat(count);
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
        let server = support::fixed_answer_server(format!("{head}{body}")).await;
        let mut answer = send_to(server).await.unwrap();
        assert!(body.len() as u64 > limits().answer_bytes);
        answer.body.expect_events();
        answer.body.set_end_check(async { true });
        let mut text = String::new();
        with_timeout(answer.body.read_to_string(&mut text))
            .await
            .unwrap();
        assert_eq!(text.len(), body.len());
    });
}

// A caller that sends blank lines or a chunk's size without end is let go as well.
#[test_case("", "\r\n", 1; "blank lines")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n", "0", 64 * 1024; "chunk size")]
fn request_without_end_is_ended(start: &'static str, cycle: &'static str, count: usize) {
    block_on(async move {
        let addr = echo(ServerLimits {
            body_bytes: 64 * 1024,
            ..ServerLimits::default()
        })
        .await;
        let mut caller = connect_and_send(addr, start).await;
        let block = cycle.repeat(count);
        let began = Instant::now();
        while caller.write_all(block.as_bytes()).await.is_ok() {
            task::yield_now().await;
            assert!(began.elapsed() < SLACK, "still read");
        }
    });
}
