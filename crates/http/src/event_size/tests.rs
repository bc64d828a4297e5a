use test_case::test_case;

use super::*;

#[test_case("data: a\n\n", 0; "line feeds")]
#[test_case("data: a\r\r", 0; "carriage returns")]
#[test_case("data: a\r\n\r\n", 1; "both, with the line feed of the blank line")]
#[test_case("data: a\n\ndata: b", 7; "the next event has begun")]
#[test_case("data: a\ndata: b\n", 16; "lines of one event")]
#[test_case("data: a\r\ndata: b\r\n", 18; "lines of one event with both")]
#[test_case("", 0; "nothing")]
fn an_event_is_counted_from_the_last_blank_line(text: &str, size: u64) {
    assert_eq!(EventSize::default().push(text.as_bytes()), size);
    let mut bytewise = EventSize::default();
    let sizes = text.bytes().map(|byte| bytewise.push(&[byte]));
    assert_eq!(sizes.last().unwrap_or_default(), size);
}
