//! Answers pass through whole, and a short one never looks whole.

#![allow(clippy::unwrap_used)]

mod support;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use crocushold_http::AnswerEnd;
use crocushold_http::CutCause;
use crocushold_http::SendErrorKind;
use crocushold_http::Stage;
use test_case::test_case;

use support::call;
use support::canned;
use support::fake;
use support::read_head;
use support::read_rest;
use support::relay;
use support::run;
use support::send;
use support::soon;

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const KEEP: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

#[test]
fn streamed_answer_passes_token_by_token() {
    run(async {
        let (go, gate) = async_std::channel::bounded::<()>(1);
        let server = fake(move |_, mut stream| {
            let gate = gate.clone();
            async move {
                read_head(&mut stream).await;
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                let first = "a\r\ndata: a\n\n\n\r\n";
                stream
                    .write_all(format!("{head}{first}").as_bytes())
                    .await
                    .unwrap();
                gate.recv().await.unwrap();
                stream
                    .write_all(b"9\r\ndata: b\n\n\r\n0\r\n\r\n")
                    .await
                    .unwrap();
            }
        })
        .await;
        let (addr, ends) = relay(server).await;
        let mut caller = call(addr, GET).await;
        read_head(&mut caller).await;
        // The second token is only sent once the caller has the first: none is held back.
        let mut first = [0; 15];
        soon(caller.read_exact(&mut first)).await.unwrap();
        assert_eq!(&first, b"A\r\ndata: a\n\n\n\r\n");
        go.send(()).await.unwrap();
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

// The server announces 20 bytes, sends 4 and closes. async-h1 reads that as a clean end: the caller
// would get 4 of 20 bytes on a connection that stays open, and the next answer's bytes as the rest.
// The caller must see its connection end short instead.
#[test]
fn short_answer_cuts_the_callers_connection() {
    run(async {
        let server = canned("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nfour").await;
        let (addr, ends) = relay(server).await;
        let mut caller = call(addr, &format!("{KEEP}{KEEP}")).await;
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

// The server's stream breaks off between two chunks. The caller's copy must lack the last chunk too,
// so that its reader sees the cut.
#[test]
fn chunked_answer_without_its_last_chunk_stays_without() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n";
        let server = canned(head).await;
        let (addr, ends) = relay(server).await;
        let mut caller = call(addr, KEEP).await;
        read_head(&mut caller).await;
        assert_eq!(read_rest(&mut caller).await, "4\r\nfour\r\n");
        let cause = CutCause::Short;
        assert_eq!(
            ends.recv().await.unwrap(),
            AnswerEnd::Cut { bytes: 4, cause }
        );
    });
}

// Trailers end a chunked body in more than one line. They aren't relayed, and the body is whole.
#[test]
fn trailers_do_not_spoil_the_end() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let server = canned(format!("{head}4\r\nfour\r\n0\r\nx-sum: 1\r\n\r\n")).await;
        let (addr, ends) = relay(server).await;
        let mut caller = call(addr, GET).await;
        read_head(&mut caller).await;
        assert_eq!(read_rest(&mut caller).await, "4\r\nfour\r\n0\r\n\r\n");
        assert_eq!(ends.recv().await.unwrap(), AnswerEnd::Complete { bytes: 4 });
    });
}

// The server sends a body without a length and closes. async-h1 drops such a body, so the caller
// would get an empty success. It must be an error: a cut couldn't be told from the end.
#[test_case("HTTP/1.1 200 OK\r\n\r\nall of it"; "no framing at all")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nall of it"; "unknown coding")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 9\r\n\r\nall of it"; "two lengths")]
fn answer_that_ends_at_close_is_an_error(answer: &'static str) {
    run(async move {
        let server = canned(answer).await;
        let error = send(server).await.unwrap_err();
        assert_eq!(error.stage, Stage::Answered);
        assert!(matches!(error.kind, SendErrorKind::Unframed), "{error}");
    });
}
