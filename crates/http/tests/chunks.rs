//! Where a body in chunks ends is the same for this crate and for whoever sends or reads it.

#![allow(clippy::unwrap_used)]

mod support;

use std::pin::pin;
use std::time::Duration;

use async_std::channel::unbounded;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::task;
use crocushold_base::Millis;
use crocushold_http::BodyError;
use crocushold_http::ListenerLimits;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use crocushold_http::ServerLimits;
use crocushold_http::read_body;
use futures::future::join_all;
use futures::poll;
use http_types::Response;
use test_case::test_case;

use support::block_on;
use support::client;
use support::connect_and_send;
use support::echo;
use support::fixed_answer_server;
use support::get;
use support::read_head;
use support::read_rest;
use support::scripted_server;
use support::send;
use support::serve;
use support::status;
use support::with_timeout;

const REQUEST: &str =
    "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";

const ANSWER: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Reads the answer with this text. The error is that of its head or its body.
async fn read_answer(text: String) -> Result<String, String> {
    let server = fixed_answer_server(text).await;
    let mut answer = send(server).await.map_err(|error| error.to_string())?;
    let mut body = String::new();
    let read = answer.body.read_to_string(&mut body).await;
    read.map_err(|error| error.to_string())?;
    Ok(body)
}

/// Guards against a body that ends where only some readers see its end: the rest is read as the next message, or a part of
/// the body is taken for all of it.
#[test_case("4\r\nfour\r\n\r\n"; "no size")]
#[test_case("4\r\nfour\r\n0\r\n\n"; "line feed at the end")]
#[test_case("4\r\nfour\r\n0\n\r\n"; "line feed after the last size")]
#[test_case("4\r\nfour\r\n0\r\nx: y\n\r\n"; "line feed after a trailer")]
#[test_case("4\r\nfour\r\n0\r\nx: \n\r\n"; "line feed in a trailer")]
#[test_case("4\r\nfour\r\n0\r\nx y: z\r\n\r\n"; "space in the name of a trailer")]
#[test_case("4\r\nfour\r\n0\r\nx\r\n\r\n"; "trailer without a colon")]
#[test_case("4\r\nfour\r\n0\r\nx: y\r\n z\r\n\r\n"; "folded trailer")]
#[test_case("4\nfour\r\n0\r\n\r\n"; "line feed after a size")]
#[test_case("4\r\nfour\n0\r\n\r\n"; "line feed after the data")]
#[test_case("4\r\nfour0\r\n\r\n"; "no line end after the data")]
#[test_case("+4\r\nfour\r\n0\r\n\r\n"; "signed size")]
#[test_case("0x4\r\nfour\r\n0\r\n\r\n"; "prefix of a size")]
#[test_case("4 \r\nfour\r\n0\r\n\r\n"; "space after a size")]
#[test_case("10000000000000004\r\nfour\r\n0\r\n\r\n"; "size beyond 64 bits")]
fn malformed_chunks_are_an_error(chunks: &str) {
    block_on(async {
        let answer = read_answer(format!("{ANSWER}{chunks}")).await;
        assert!(answer.is_err(), "{answer:?}");
        let address = echo(ServerLimits::default()).await;
        let mut caller = connect_and_send(address, &format!("{REQUEST}{chunks}")).await;
        assert_eq!(status(&read_rest(&mut caller).await), "400");
    });
}

/// Guards against a whole body that is refused, broken off or ends its reader for what is beside its data.
#[test_case("4\r\nfour\r\n0\r\n\r\n"; "plain")]
#[test_case("0004\r\nfour\r\n000\r\n\r\n"; "leading zeros")]
#[test_case("4\r\nfour\r\n0\r\nx: \u{e9}\r\n\r\n"; "trailer that is not ascii")]
#[test_case("4\r\nfour\r\n0\r\na:\r\nb:\r\nc:\r\nd:\r\ne:\r\nf:\r\ng:\r\nh:\r\ni:\r\nj:\r\nk:\r\nl:\r\nm:\r\nn:\r\no:\r\np:\r\nq:\r\n\r\n"; "seventeen trailers")]
#[test_case("4\r\nfour\r\n0\r\n\r\nGET / HTTP/1.1\r\n"; "bytes behind the body")]
fn whole_chunks_are_read(chunks: &str) {
    block_on(async {
        let answer = read_answer(format!("{ANSWER}{chunks}")).await;
        assert_eq!(answer.as_deref(), Ok("four"));
        let address = echo(ServerLimits::default()).await;
        let mut caller = connect_and_send(address, &format!("{REQUEST}{chunks}")).await;
        let answer = read_rest(&mut caller).await;
        assert!(answer.ends_with("four"), "{answer}");
    });
}

/// Guards against an answer that is taken for empty and whole, because its coding is spelled in other letters.
#[test]
fn the_coding_has_no_case() {
    block_on(async {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n";
        let answer = read_answer(format!("{head}4\r\nfour\r\n0\r\n\r\n")).await;
        assert_eq!(answer.as_deref(), Ok("four"));
    });
}

/// Guards against bytes that were sent behind an answer and are read as the answer to the next request.
#[test]
fn bytes_behind_an_answer_belong_to_no_other() {
    block_on(async {
        let server = scripted_server(|number, mut stream| async move {
            read_head(&mut stream).await;
            let late = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate";
            let answer = format!("{ANSWER}1\r\n{number}\r\n0\r\n\r\n{late}");
            stream.write_all(answer.as_bytes()).await.unwrap();
            read_rest(&mut stream).await;
        })
        .await;
        let client = client();
        for expected in ["0", "1"] {
            let limits = SendLimits::default();
            let sent = client.send(server, get(server), &limits, Reuse::Allowed);
            let mut answer = sent.await.unwrap();
            let mut body = String::new();
            answer.body.read_to_string(&mut body).await.unwrap();
            assert_eq!(body, expected);
        }
    });
}

/// Guards against bytes of a body that have arrived and wake no reader, wherever the segments end.
#[test]
fn every_cut_of_a_body_is_read_to_its_end() {
    let chunks = "4\r\nfour\r\n3\r\nday\r\n0\r\nx: y\r\n\r\n";
    let cuts = (1..chunks.len()).map(|cut| async move {
        let (first, second) = chunks.split_at(cut);
        let server = scripted_server(move |_, mut stream| async move {
            read_head(&mut stream).await;
            stream.write_all(ANSWER.as_bytes()).await.unwrap();
            stream.write_all(first.as_bytes()).await.unwrap();
            task::sleep(Duration::from_millis(30)).await;
            stream.write_all(second.as_bytes()).await.unwrap();
            read_rest(&mut stream).await;
        })
        .await;
        // A task of its own is polled only when its own wakers are called.
        let answer = task::spawn(async move {
            let mut answer = send(server).await.unwrap();
            let mut body = String::new();
            answer.body.read_to_string(&mut body).await.unwrap();
            body
        });
        let address = echo(ServerLimits::default()).await;
        let mut caller = connect_and_send(address, &format!("{REQUEST}{first}")).await;
        task::sleep(Duration::from_millis(30)).await;
        caller.write_all(second.as_bytes()).await.unwrap();
        let echoed = read_rest(&mut caller).await;
        assert!(echoed.ends_with("fourday"), "cut at {cut}: {echoed}");
        assert_eq!(with_timeout(answer).await, "fourday", "cut at {cut}");
    });
    block_on(join_all(cuts));
}

/// Guards against a long body whose bytes have arrived and wake no reader, and against bytes of the next message that are
/// taken for its end, wherever segments end relative to the buffers.
#[test_case(true, 1021; "chunks, short segments")]
#[test_case(true, 4096; "chunks, segments of a read")]
#[test_case(true, 8191; "chunks, segments below a buffer")]
#[test_case(true, 8193; "chunks, segments above a buffer")]
#[test_case(false, 4096; "length, segments of a read")]
#[test_case(false, 8193; "length, segments above a buffer")]
fn long_bodies_are_read_to_their_end(chunked: bool, segment: usize) {
    let data: String = ('a'..='z').cycle().take(60_000).collect();
    let (framing, body) = if chunked {
        // Sizes below, at and above those of the buffers.
        let mut sizes = [1, 8191, 8192, 8193, 4095, 20_000].into_iter().cycle();
        let mut body = String::new();
        let mut rest = data.as_str();
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(sizes.next().unwrap().min(rest.len()));
            body += &format!("{:x}\r\n{piece}\r\n", piece.len());
            rest = after;
        }
        ("transfer-encoding: chunked".to_owned(), body + "0\r\n\r\n")
    } else {
        (format!("content-length: {}", data.len()), data.clone())
    };
    block_on(async move {
        let request = format!(
            "POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n{framing}\r\n\r\n{body}"
        );
        let next = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let address = echo(ServerLimits::default()).await;
        let mut caller = connect_and_send(address, "").await;
        let mut writer = caller.clone();
        let sent = task::spawn(async move {
            for piece in format!("{request}{next}").as_bytes().chunks(segment) {
                // The server closes behind a body in chunks.
                let _ = writer.write_all(piece).await;
                task::sleep(Duration::from_millis(1)).await;
            }
        });
        let answers = read_rest(&mut caller).await;
        sent.await;
        assert!(answers.contains(&data), "{} bytes", answers.len());
        let server = scripted_server(move |_, mut stream| {
            let answer = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{body}");
            async move {
                read_head(&mut stream).await;
                for piece in answer.as_bytes().chunks(segment) {
                    stream.write_all(piece).await.unwrap();
                    task::sleep(Duration::from_millis(1)).await;
                }
                read_rest(&mut stream).await;
            }
        })
        .await;
        let read = task::spawn(async move {
            let mut answer = send(server).await.unwrap();
            let mut body = String::new();
            answer.body.read_to_string(&mut body).await.unwrap();
            body
        });
        assert!(with_timeout(read).await == data);
    });
}

/// Guards against a body that is awaited in vain without a word of how much of it has arrived, and when.
#[test]
fn a_body_that_stops_tells_how_far_it_came() {
    block_on(async {
        let limits = ServerLimits {
            body_timeout: Millis(300),
            ..ServerLimits::default()
        };
        let (sender, errors) = unbounded();
        let (address, _, _) = serve(ListenerLimits::default(), move |mut request, _| {
            let (limits, sender) = (limits.clone(), sender.clone());
            async move {
                let error = read_body(&mut request, &limits).await.unwrap_err();
                let response = Response::new(error.status());
                sender.try_send(error).unwrap();
                response
            }
        })
        .await;
        let mut caller = connect_and_send(address, &format!("{REQUEST}4\r\nfo")).await;
        task::sleep(Duration::from_millis(150)).await;
        caller.write_all(b"ur").await.unwrap();
        assert_eq!(status(&read_rest(&mut caller).await), "408");
        let error = errors.recv().await.unwrap();
        assert!(
            matches!(error, BodyError::Timeout(4, silent) if silent <= Millis(200)),
            "{error}"
        );
    });
}

/// Guards against bytes that a server sends as a body where there is none, and that are read as the answer to the next
/// request on the connection.
#[test_case("204 No Content", "content-length: 4\r\n"; "length")]
#[test_case("204 No Content", "transfer-encoding: chunked\r\n"; "chunks")]
#[test_case("304 Not Modified", "transfer-encoding: chunked\r\n"; "chunks and not modified")]
fn a_body_that_must_not_be_is_no_answer(status: &'static str, framing: &'static str) {
    block_on(async {
        let server = scripted_server(move |number, mut stream| async move {
            read_head(&mut stream).await;
            let answer = format!("HTTP/1.1 {status}\r\nx-number: {number}\r\n{framing}\r\n");
            stream.write_all(answer.as_bytes()).await.unwrap();
            // The body comes once the connection may carry the next request.
            if !read_head(&mut stream).await.is_empty() {
                let late = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate";
                stream.write_all(late.as_bytes()).await.unwrap();
            }
        })
        .await;
        let client = client();
        for expected in ["0", "1"] {
            let limits = SendLimits::default();
            let sent = client.send(server, get(server), &limits, Reuse::Allowed);
            let answer = sent.await.unwrap();
            let number = answer.headers.get("x-number").map(|number| number.as_str());
            assert_eq!(number, Some(expected), "{}", answer.status);
        }
    });
}

/// Guards against a reader of tiny chunks that keeps its thread for as long as bytes are at hand.
#[test]
fn reader_of_tiny_chunks_lets_other_tasks_run() {
    const CHUNKS: usize = 10_000;
    block_on(async {
        let body = "1\r\nx\r\n".repeat(CHUNKS) + "0\r\n\r\n";
        let server = fixed_answer_server(format!("{ANSWER}{body}")).await;
        let mut answer = send(server).await.unwrap();
        task::sleep(Duration::from_millis(100)).await;
        let mut data = Vec::new();
        let mut read = pin!(answer.body.read_to_end(&mut data));
        let mut polls = 1;
        while poll!(read.as_mut()).is_pending() {
            polls += 1;
        }
        assert_eq!(data.len(), CHUNKS);
        // Five bytes of framing a chunk, and a turn for each 4 KiB of them.
        assert!(polls >= 5 * CHUNKS / 4096 / 2, "{polls} polls");
    });
}
