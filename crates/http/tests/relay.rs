//! Answers are relayed completely, and a truncated answer is never relayed as complete.

#![allow(clippy::unwrap_used)]

mod support;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use crocushold_http::AnswerEnd;
use crocushold_http::CutCause;
use crocushold_http::SendErrorKind;
use crocushold_http::Stage;
use test_case::test_case;

use support::block_on;
use support::connect_and_send;
use support::fixed_answer_server;
use support::read_head;
use support::read_rest;
use support::relay;
use support::scripted_server;
use support::send;
use support::with_timeout;

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const GET_KEEP_ALIVE: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

#[test]
fn streamed_answer_is_relayed_token_by_token() {
    block_on(async {
        let (release, released) = async_std::channel::bounded::<()>(1);
        let server = scripted_server(move |_, mut stream| {
            let released = released.clone();
            async move {
                read_head(&mut stream).await;
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                let first = "a\r\ndata: a\n\n\n\r\n";
                stream
                    .write_all(format!("{head}{first}").as_bytes())
                    .await
                    .unwrap();
                released.recv().await.unwrap();
                stream
                    .write_all(b"9\r\ndata: b\n\n\r\n0\r\n\r\n")
                    .await
                    .unwrap();
            }
        })
        .await;
        let (addr, ends) = relay(server).await;
        let mut caller = connect_and_send(addr, GET).await;
        read_head(&mut caller).await;
        // The server sends the second token only after the caller has received the first, so the
        // test times out if a token is held back.
        let mut first = [0; 15];
        with_timeout(caller.read_exact(&mut first)).await.unwrap();
        assert_eq!(&first, b"A\r\ndata: a\n\n\n\r\n");
        release.send(()).await.unwrap();
        assert_eq!(
            read_rest(&mut caller).await,
            "9\r\ndata: b\n\n\r\n0\r\n\r\n"
        );
        assert_eq!(
            ends.recv().await.unwrap(),
            AnswerEnd::Complete { bytes: 19 }
        );
    });
}

// The server announces 20 bytes, sends 4 and closes the connection. async-h1 treats that as the end
// of the body: the caller would get 4 of 20 bytes on a connection that stays open, and would read
// the next answer as the rest. The caller's connection must be closed after the 4 bytes instead.
#[test]
fn truncated_answer_closes_the_callers_connection() {
    block_on(async {
        let server = fixed_answer_server("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nfour").await;
        let (addr, ends) = relay(server).await;
        let mut caller = connect_and_send(addr, &format!("{GET_KEEP_ALIVE}{GET_KEEP_ALIVE}")).await;
        let head = read_head(&mut caller).await;
        assert!(head.contains("content-length: 20"), "{head}");
        assert_eq!(read_rest(&mut caller).await, "four");
        let cause = CutCause::Short;
        assert_eq!(
            ends.recv().await.unwrap(),
            AnswerEnd::Cut { bytes: 4, cause }
        );
    });
}

// The server closes the connection between two chunks. The relayed answer must lack the last chunk
// too, so that the caller detects the truncation.
#[test]
fn chunked_answer_without_its_last_chunk_is_relayed_without_it() {
    block_on(async {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n";
        let server = fixed_answer_server(head).await;
        let (addr, ends) = relay(server).await;
        let mut caller = connect_and_send(addr, GET_KEEP_ALIVE).await;
        read_head(&mut caller).await;
        assert_eq!(read_rest(&mut caller).await, "4\r\nfour\r\n");
        let cause = CutCause::Short;
        assert_eq!(
            ends.recv().await.unwrap(),
            AnswerEnd::Cut { bytes: 4, cause }
        );
    });
}

// Trailers follow the last chunk. They aren't relayed, and the body is complete.
#[test]
fn chunked_answer_with_trailers_is_complete() {
    block_on(async {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let server = fixed_answer_server(format!("{head}4\r\nfour\r\n0\r\nx-sum: 1\r\n\r\n")).await;
        let (addr, ends) = relay(server).await;
        let mut caller = connect_and_send(addr, GET).await;
        read_head(&mut caller).await;
        assert_eq!(read_rest(&mut caller).await, "4\r\nfour\r\n0\r\n\r\n");
        assert_eq!(ends.recv().await.unwrap(), AnswerEnd::Complete { bytes: 4 });
    });
}

// The server sends a body without valid framing and closes the connection. async-h1 drops such a
// body, so the caller would get an empty success. It must be an error, because a truncated body
// couldn't be told from a complete one.
#[test_case("HTTP/1.1 200 OK\r\n\r\nall of it"; "no framing at all")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nall of it"; "unknown coding")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 9\r\n\r\nall of it"; "two lengths")]
fn answer_without_valid_framing_is_an_error(answer: &'static str) {
    block_on(async move {
        let server = fixed_answer_server(answer).await;
        let error = send(server).await.unwrap_err();
        assert_eq!(error.stage, Stage::Answered);
        assert!(matches!(error.kind, SendErrorKind::Unframed), "{error}");
    });
}
