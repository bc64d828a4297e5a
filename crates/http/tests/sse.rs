//! Streams of events: their media type, and the count of events, which is independent of chunk boundaries.

use crocushold_http::EventCounter;
use crocushold_http::is_event_stream;
use test_case::test_case;

const STREAM: &[u8] = b": comment\n\ndata: {\"a\":1}\n\nevent: x\r\ndata: {\"b\":2}\r\n\r\n\
    data:{\"usage\":3}\n\ndata: [DONE]\n\n";

#[test]
fn count_is_independent_of_chunk_boundaries() {
    for size in 1..=STREAM.len() {
        let mut counter = EventCounter::new();
        let pushed: u64 = STREAM.chunks(size).map(|chunk| counter.push(chunk)).sum();
        assert_eq!((counter.events(), pushed), (3, 3), "chunks of {size}");
        assert_eq!(counter.last_event(), b"{\"usage\":3}", "chunks of {size}");
        assert!(counter.is_done(), "chunks of {size}");
    }
}

// A server sends a very long event. It must be counted but not kept, so that memory stays bounded.
#[test]
fn oversized_event_is_counted_and_not_kept() {
    let mut counter = EventCounter::new();
    counter.push(b"data: small\n\ndata: ");
    for _ in 0..100 {
        counter.push(&[b'x'; 1024]);
    }
    counter.push(b"\n\n");
    assert_eq!(counter.events(), 2);
    assert_eq!(counter.last_event(), b"");
    counter.push(b"data: next\n\n");
    assert_eq!(counter.last_event(), b"next");
}

#[test_case("text/event-stream", true)]
#[test_case("Text/Event-Stream; charset=utf-8", true)]
#[test_case("text/event-stream ;charset=utf-8", true)]
#[test_case("text/plain", false)]
#[test_case("", false)]
fn the_media_type_tells_streams_of_events(content_type: &str, expected: bool) {
    assert_eq!(is_event_stream(content_type), expected);
}
