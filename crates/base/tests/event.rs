//! A log record stays one line of pairs, whatever its values contain.

use crocushold_base::Event;
use test_case::test_case;

// A caller could send text that ends the line or the value and so forges a record. Each value must
// be written as one word, quoted and escaped unless it is plain.
#[test_case("fleet/runner-1", "fleet/runner-1"; "plain")]
#[test_case("", r#""""#; "empty")]
#[test_case("a b", r#""a b""#; "space")]
#[test_case("x\nevent=forged", r#""x\nevent=forged""#; "line break")]
#[test_case("x\r\u{1b}[2J", r#""x\r\u{1b}[2J""#; "terminal command")]
#[test_case("x\" level=error", r#""x\" level=error""#; "quote")]
#[test_case("a=b", r#""a=b""#; "pair")]
fn a_value_is_escaped_to_one_word(value: &str, expected: &str) {
    let line = Event::new("test")
        .with("key", value)
        .with("last", 1)
        .to_string();
    assert_eq!(line, format!("event=test key={expected} last=1"));
}
