use super::EventBoundary;

/// The prefixes of `stream`, by length, after which it could end.
fn ends(stream: &[u8]) -> Vec<usize> {
    let mut boundary = EventBoundary::default();
    let mut ends = Vec::new();
    for (index, byte) in stream.iter().enumerate() {
        boundary.push(&[*byte]);
        if boundary.is_between_events() {
            ends.push(index + 1);
        }
    }
    ends
}

/// Guards against an event that counts as whole before its blank line.
#[test]
fn a_stream_ends_after_a_blank_line_or_a_comment() {
    assert_eq!(ends(b"id: 1\ndata: a\n\nid: 2\n\n"), [15, 22]);
    assert_eq!(ends(b"\n\n: a\n\nx\n\n: b\n\n"), [10, 14, 15]);
}

/// Guards against a line end of two bytes of which one is missing.
#[test]
fn a_stream_ends_after_the_whole_line_end() {
    assert_eq!(ends(b"data: a\r\n\r\ndata: b\r\n\r\n"), [11, 22]);
    assert_eq!(ends(b"data: a\r\rdata: b\r\r"), [9, 18]);
}
