//! Answers whose server stops inside their head.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use async_std::io::WriteExt;
use async_std::task;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use futures::future::join_all;
use socket2::SockRef;
use test_case::test_case;

use support::block_on;
use support::client;
use support::get;
use support::read_head;
use support::scripted_server;

/// Heads of answers: with a length, in chunks, until the connection closes, behind an interim answer, with a lone line feed.
const HEADS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nx: y\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nx: y\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\nContent-Type: text/event-stream\r\nx: y\r\n\r\n",
];

/// How a server ends its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Guards against an answer that is taken for whole, and empty, because its connection ends inside its head.
#[test_case(End::Close, 0; "close at once")]
#[test_case(End::Close, 20; "close after a pause")]
#[test_case(End::Reset, 0; "reset at once")]
#[test_case(End::Reset, 20; "reset after a pause")]
fn a_head_that_stops_is_no_answer(end: End, pause_ms: u64) {
    let cuts = HEADS
        .iter()
        .flat_map(|head| (0..head.len()).map(|cut| (*head, cut)));
    let exchanges = cuts.map(|(head, cut)| async move {
        let server = scripted_server(move |_, mut stream| async move {
            read_head(&mut stream).await;
            // Two segments, the second of which is the last byte.
            let (first, last) = head[..cut].split_at(cut.saturating_sub(1));
            stream.write_all(first.as_bytes()).await.unwrap();
            task::sleep(Duration::from_millis(pause_ms)).await;
            stream.write_all(last.as_bytes()).await.unwrap();
            task::sleep(Duration::from_millis(pause_ms)).await;
            if end == End::Reset {
                let linger = Some(Duration::ZERO);
                SockRef::from(&stream).set_linger(linger).unwrap();
            }
        })
        .await;
        let limits = SendLimits {
            close_delimited: true,
            ..SendLimits::default()
        };
        let client = client();
        let sent = client.send(server, get(server), &limits, Reuse::Allowed);
        let answer = sent.await;
        assert!(answer.is_err(), "{:?} is taken for a head", &head[..cut]);
    });
    block_on(async { join_all(exchanges).await });
}
