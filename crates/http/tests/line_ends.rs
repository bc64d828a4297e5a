//! Where a head ends, and each of its lines, is the same for this crate and for whoever reads the message after it.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use async_std::io::WriteExt;
use async_std::task;
use crocushold_base::Millis;
use crocushold_http::SendErrorKind;
use proptest::prelude::*;
use test_case::test_case;

use support::block_on;
use support::connect_and_send;
use support::fixed_answer_server;
use support::read_rest;
use support::recording_relay::bodies;
use support::recording_relay::first_body;
use support::recording_relay::relay;
use support::recording_relay::relay_bytes;
use support::recording_relay::strict_body;
use support::send;
use support::status;

/// A request in the body of the one that is sent.
const INNER: &str = "POST /inner HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";

/// How long the relay waits for a part of a request.
const PATIENCE: Millis = Millis(500);

/// The same where most requests have no end, or are followed by none.
const IMPATIENCE: Millis = Millis(20);

/// Bytes with which a head is longer than async-h1 parses.
const LONG: usize = 9000;

/// Bytes of a value in a head that async-h1 parses as it is.
const SHORT: usize = 4;

/// A head whose line before the length ends as given, with a body that is another request.
fn request(filler: usize, line_end: &str) -> String {
    format!(
        "POST /outer HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-note: {}{line_end}content-length: {}\r\n\r\n{INNER}",
        "n".repeat(filler),
        INNER.len()
    )
}

/// Guards against a request that is run though it stood in the body of another one, whose length stands behind a line end
/// that not every reader takes for one.
#[test_case("\n"; "line feed")]
#[test_case("\r"; "carriage return")]
#[test_case("\n\r\n"; "empty line after a line feed")]
#[test_case("\r\r\n"; "two carriage returns")]
#[test_case("\r\n\n"; "line feed after a line")]
#[test_case("\n\n"; "two line feeds")]
#[test_case("\0\r\n"; "zero byte")]
#[test_case("\x0b\r\n"; "vertical tab")]
#[test_case("\r\n\r"; "carriage return before the length")]
#[test_case("\r\n "; "folded line")]
fn a_body_is_never_read_as_a_request(line_end: &str) {
    for filler in [SHORT, LONG] {
        let (statuses, received) = block_on(relay_bytes(&request(filler, line_end), PATIENCE));
        assert_eq!(statuses, ["400"], "{filler} bytes before: {received:?}");
        assert!(received.is_empty(), "{filler} bytes before: {received:?}");
    }
}

/// Guards against a header with a line end in its name or value, in which a server reads another header.
#[test_case("x-empty\nx-account: other"; "line feed in a name")]
#[test_case("x-empty\rx-account: other"; "carriage return in a name")]
#[test_case("x-empty: \nx-account: other"; "line feed in a value")]
#[test_case("x-empty: \rx-account: other"; "carriage return in a value")]
#[test_case("x-empty : other"; "space before the colon")]
#[test_case("x\u{7f}: other"; "control character in a name")]
#[test_case("x-empty: \x01"; "control character in a value")]
#[test_case("x(empty): other"; "delimiters in a name")]
#[test_case(": other"; "no name")]
#[test_case("x-empty"; "no colon")]
fn a_malformed_line_is_refused_in_heads_of_any_length(line: &str) {
    let long = format!("{line}{}", " ".repeat(300));
    for (filler, line) in [(SHORT, line), (LONG, line), (LONG, long.as_str())] {
        let note = "n".repeat(filler);
        let text = format!(
            "GET / HTTP/1.1\r\nhost: a\r\n{line}\r\nx-note: {note}\r\nconnection: close\r\n\r\n"
        );
        let (statuses, received) = block_on(relay_bytes(&text, PATIENCE));
        assert_eq!(statuses, ["400"], "{filler}: {received:?}");
        assert!(received.is_empty(), "{filler}: {received:?}");
    }
}

/// Guards against a blank line between two requests that is refused because it comes in two segments.
#[test]
fn a_blank_line_before_a_request_may_come_in_two_segments() {
    block_on(async {
        let (address, _) = relay(PATIENCE).await;
        let mut caller = connect_and_send(address, "\r").await;
        task::sleep(Duration::from_millis(50)).await;
        let rest = "\nGET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        caller.write_all(rest.as_bytes()).await.unwrap();
        assert_eq!(status(&read_rest(&mut caller).await), "200");
    });
}

/// Parts of heads, and bytes that some readers take for the end of a line or of a head.
fn pieces() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        4 => prop::sample::select(vec![
            "\r\n", "\n", "\r", "\n\r\n", "\r\n\r\n", "\0", " ", "\t", ":", "x", "x: y", "x: y\r\n", "x-note: ",
        ])
        .prop_map(str::to_owned),
        1 => (1_usize..3).prop_map(|count| "n".repeat(count * LONG / 2)),
        1 => "[\\x00-\\x7f]".prop_map(|text| text),
    ];
    prop::collection::vec(piece, 0..8).prop_map(|pieces| pieces.concat())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(384))]

    /// Guards against any head in which two readers find another number of requests, or other bodies.
    #[test]
    fn a_head_is_refused_or_read_in_one_way(before in pieces(), after in pieces()) {
        let sent = format!(
            "POST /outer HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{before}\r\ncontent-length: {}\r\n{after}\r\n\r\n{INNER}",
            INNER.len()
        );
        let (statuses, received) = block_on(relay_bytes(&sent, PATIENCE));
        let served = statuses.iter().filter(|status| *status == "200").count();
        prop_assert_eq!(served, received.len(), "{:?} {:?}", statuses, received);
        // What the relay itself reads as a request is one for every reader behind it.
        for text in &received {
            prop_assert_eq!(bodies(text).len(), 1, "{:?}", received);
        }
        // A strict reader, for which lines end in CR LF, finds the same requests in what the caller has sent.
        if let Some(text) = received.first() {
            let strict = strict_body(&sent).map(|(body, _)| body);
            prop_assert_eq!(strict.as_deref(), first_body(text).map(|(body, _)| body));
        }
    }
}

/// Requests one behind the other, with bodies of each framing.
fn requests() -> impl Strategy<Value = String> {
    let request = prop::sample::select(vec![
        "GET /a HTTP/1.1\r\nhost: a\r\n\r\n",
        "POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nfour",
        "POST /c HTTP/1.1\r\nhost: a\r\nx: y\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n1\r\n5\r\n0\r\nx: y\r\n\r\n",
        "POST /d HTTP/1.1\r\nhost: a\r\ncontent-length: 64\r\n\r\nGET /inner HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\nx: 123456\r\n\r\n",
    ]);
    prop::collection::vec(request, 1..4).prop_map(|requests| requests.concat())
}

/// A change of the bytes of requests.
#[derive(Clone, Debug)]
enum Change {
    Insert(String),
    Remove,
    /// Puts another text in the place of a line end.
    EndLine(&'static str),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        1 => "[\\r\\n\\x00 \\t:;0-9a-fx,]{1,2}".prop_map(Change::Insert),
        1 => Just(Change::Remove),
        3 => prop::sample::select(vec!["\n", "\r", "\n\r\n", "\r\r\n"])
            .prop_map(Change::EndLine),
    ]
}

fn apply(text: &mut String, index: &prop::sample::Index, change: Change) {
    match change {
        Change::Insert(inserted) => text.insert_str(index.index(text.len() + 1), &inserted),
        Change::Remove if text.is_empty() => {}
        Change::Remove => drop(text.remove(index.index(text.len()))),
        Change::EndLine(end) => {
            let ends: Vec<usize> = text.match_indices("\r\n").map(|(at, _)| at).collect();
            if !ends.is_empty() {
                let at = *index.get(&ends);
                text.replace_range(at..at + 2, end);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1024))]

    /// Guards against bytes of a connection in which a strict reader finds other requests than those that are passed on.
    #[test]
    fn changed_bytes_of_requests_are_read_in_one_way(
        requests in requests(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), change()), 0..4),
    ) {
        let mut sent = requests;
        for (index, change) in changes {
            apply(&mut sent, &index, change);
        }
        let (statuses, received) = block_on(relay_bytes(&sent, IMPATIENCE));
        let mut rest = sent.as_str();
        for text in &received {
            prop_assert_eq!(bodies(text).len(), 1, "{:?}", received);
            // Blank lines before a request are no part of it.
            let strict = strict_body(rest.trim_start_matches("\r\n"));
            prop_assert!(strict.is_some(), "{:?} from {:?}", received, sent);
            let (body, after) = strict.unwrap();
            prop_assert_eq!(Some(body.as_str()), first_body(text).map(|(body, _)| body));
            rest = after;
        }
        prop_assert!(!statuses.is_empty() || received.is_empty());
    }
}

/// Guards against an answer whose framing stands behind a line end that not every reader takes for one.
#[test_case("x: y\n", "content-length: 4\r\n"; "line feed before the length")]
#[test_case("x: y\r", "content-length: 4\r\n"; "carriage return before the length")]
#[test_case("x: y\n\r\n", "content-length: 4\r\n"; "empty line before the length")]
#[test_case("content-length: 4\n", "x: y\r\n"; "line feed after the length")]
#[test_case("content-length: 4\n", ""; "length, and an empty line")]
#[test_case("\n", "content-length: 4\r\n"; "line feed before the first header")]
fn an_answer_with_other_line_ends_is_malformed(first: &str, second: &str) {
    let text = format!("HTTP/1.1 200 OK\r\n{first}{second}\r\nbody");
    let failed = block_on(async {
        let server = fixed_answer_server(text).await;
        send(server).await
    });
    let error = failed.unwrap_err();
    assert!(
        matches!(error.kind, SendErrorKind::HeadMalformed(_)),
        "{error}"
    );
}
