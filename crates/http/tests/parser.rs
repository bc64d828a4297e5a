//! The parser of answers with random input that never ends.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::task;
use crocushold_base::Millis;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use crocushold_standins::Flood;
use proptest::prelude::*;

use support::block_on;
use support::client;
use support::get;
use support::read_head;
use support::scripted_server;

/// Deadline of a request.
const DEADLINE: Millis = Millis(500);

/// Time after which an exchange has ended, on a busy machine.
const LIMIT: Duration = Duration::from_secs(5);

/// Bytes of a plain body.
const ANSWER_BYTES: u64 = 256 * 1024;

/// What the buffers of the sockets take besides.
const SOCKET_BYTES: u64 = 16 * 1024 * 1024;

/// Bytes of one write of a server that sends slowly, and of one that doesn't.
const PIECES: [usize; 3] = [1, 100, 64 * 1024];

fn limits() -> SendLimits {
    SendLimits {
        head_timeout: DEADLINE,
        stall_timeout: DEADLINE,
        answer_bytes: ANSWER_BYTES,
        event_bytes: ANSWER_BYTES,
        close_delimited: true,
        ..SendLimits::default()
    }
}

/// Parts of an answer, in any order.
fn parts(most: usize) -> impl Strategy<Value = Vec<u8>> {
    let part = prop_oneof![
        8 => prop::sample::select(vec![
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n",
            "Content-Length: 4\r\n",
            "Content-Length: 99999999999\r\n",
            "Transfer-Encoding: chunked\r\n",
            "Content-Type: text/event-stream\r\n",
            "X-Name: value\r\n",
            "\r\n",
            "\n",
            "four",
            "4\r\nfour\r\n",
            "0\r\n",
            "0",
            "ffffffff",
            ";x=y",
            "data: x\n\n",
        ])
        .prop_map(|text| text.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 1..20),
    ];
    prop::collection::vec(part, 1..most).prop_map(|parts| parts.concat())
}

/// Starts of answers, most of which have a head.
fn starts() -> impl Strategy<Value = Vec<u8>> {
    let head = prop::sample::select(vec![
        "",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
    ]);
    (head, parts(6)).prop_map(|(head, parts)| [head.as_bytes(), &parts].concat())
}

/// Starts and what is repeated after them: known floods, some with other parts in between, and random ones.
fn answers() -> impl Strategy<Value = (Vec<u8>, Vec<u8>)> {
    let floods = (
        prop::sample::select(Flood::ALL.to_vec()),
        prop::option::of(parts(3)),
    );
    let floods = floods.prop_map(|(flood, parts)| {
        let start = flood.start("").into_bytes();
        let start = [start, parts.unwrap_or_default()].concat();
        (start, flood.cycle().into_bytes())
    });
    prop_oneof![floods, (starts(), parts(4))]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    // Whatever comes without end, the exchange ends in time, reads a bounded number of bytes, and keeps no
    // connection on which bytes go on arriving.
    #[test]
    fn input_without_end_ends_the_exchange(
        (start, cycle) in answers(),
        piece in prop::sample::select(PIECES.to_vec()),
    ) {
        let began = Instant::now();
        let ended = block_on(exchange(start, cycle, piece));
        prop_assert!(began.elapsed() < LIMIT, "{:?}", began.elapsed());
        // A stream is bounded by its deadline alone, as all of it may be whole events.
        prop_assert!(ended.is_stream || ended.read <= ANSWER_BYTES, "{ended:?}");
        prop_assert!(ended.is_stream || ended.sent < SOCKET_BYTES, "{ended:?}");
    }
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    is_stream: bool,
    /// Bytes that the server sent until the connection was closed.
    sent: u64,
    /// Bytes of the body that were read.
    read: u64,
}

/// Sends a request to a server that answers with `start` and then `cycle` without end, and waits until the
/// connection is closed.
async fn exchange(start: Vec<u8>, cycle: Vec<u8>, piece: usize) -> Ended {
    let sent = Arc::new(AtomicU64::new(0));
    let counter = sent.clone();
    let (closed_sender, closed) = async_std::channel::unbounded();
    let server = scripted_server(move |_, mut stream| {
        let bytes: Vec<u8> = start
            .iter()
            .chain(cycle.iter().cycle())
            .copied()
            .take(1 << 20)
            .collect();
        let cycle = cycle.clone();
        let counter = counter.clone();
        let closed_sender = closed_sender.clone();
        async move {
            read_head(&mut stream).await;
            let first = bytes.chunks(piece);
            let again = cycle.repeat(piece.div_ceil(cycle.len()));
            for bytes in first.chain(std::iter::repeat(&again[..])) {
                if stream.write_all(bytes).await.is_err() {
                    break;
                }
                counter.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                task::yield_now().await;
            }
            let _ = closed_sender.try_send(());
        }
    })
    .await;
    let client = client();
    let kept = client.clone();
    let received = task::spawn(async move {
        let limits = limits();
        let answer = client
            .send(server, get(server), &limits, Reuse::Allowed)
            .await;
        let Ok(mut answer) = answer else {
            return (false, 0);
        };
        answer.body.set_total_timeout(DEADLINE);
        let is_stream = answer.headers.get("content-type").is_some();
        if is_stream {
            answer.body.expect_events();
        }
        let mut chunk = vec![0; 8 * 1024];
        let mut count = 0;
        while let Ok(read @ 1..) = answer.body.read(&mut chunk).await {
            count += read as u64;
        }
        (is_stream, count)
    });
    let (is_stream, read) = received.await;
    closed.recv().await.unwrap();
    assert_eq!(kept.idle_connections(), 0);
    Ended {
        is_stream,
        sent: sent.load(Ordering::Relaxed),
        read,
    }
}
