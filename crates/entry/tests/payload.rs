//! Decoding of the bodies of language-model requests.

use crocushold_entry::Payload;
use crocushold_entry::PayloadError;
use crocushold_entry::set_priority;
use test_case::test_case;

#[test]
fn decodes_the_facts_of_a_chat_request() {
    let body = br#"{"model":"m","stream":true,"max_tokens":7,
        "messages":[{"role":"user","content":"12345678"}]}"#;
    let payload = Payload::decode(body).unwrap();
    assert_eq!(payload.model, "m");
    assert!(payload.stream);
    assert_eq!(payload.max_tokens, Some(7));
    assert_eq!(payload.prompt_tokens, 2);
    assert_eq!(payload.prefix, None);
}

#[test]
fn equal_heads_share_a_prefix_and_unlike_heads_do_not() {
    let prefix = |head: &str, tail: &str| {
        let text = format!("{}{tail}", head.repeat(256));
        let body = format!(r#"{{"model":"m","prompt":"{text}"}}"#);
        Payload::decode(body.as_bytes()).unwrap().prefix
    };
    assert!(prefix("a", "x").is_some());
    assert_eq!(prefix("a", "x"), prefix("a", "y"));
    assert_ne!(prefix("a", "x"), prefix("b", "x"));
}

/// Guards against holding back what a caller asks by itself, and against missing what others ask as well.
#[test]
fn all_messages_but_the_last_are_shared_parts() {
    let parts = |messages: &str| {
        let body = format!(r#"{{"model":"m","messages":[{messages}]}}"#);
        Payload::decode(body.as_bytes()).unwrap().parts
    };
    let rules = r#"{"content":"rules"}"#;
    assert!(parts(rules).is_empty());
    let one = parts(&format!(r#"{rules},{{"content":"one"}}"#));
    assert_eq!(one.len(), 1);
    assert_eq!(parts(&format!(r#"{rules},{{"content":"two"}}"#)), one);
    let three = parts(&format!(
        r#"{{"content":"other"}},{rules},{{"content":"one"}}"#
    ));
    assert_eq!(three[1..], one);
    assert_ne!(three[0], one[0]);
}

#[test_case(r#"{"model":"m","messages":[{"content":[{"type":"text","text":"hi"}]}]}"#; "parts")]
#[test_case(r#"{"model":"m","messages":[{"content":null}]}"#; "null content")]
#[test_case(r#"{"model":"m","prompt":[1,2,3]}"#; "token numbers")]
fn accepts_prompts_that_are_not_strings(body: &str) {
    assert!(Payload::decode(body.as_bytes()).is_ok());
}

#[test]
fn a_body_without_a_model_is_an_error() {
    let result = Payload::decode(br#"{"messages":[]}"#);
    assert!(matches!(result, Err(PayloadError::NoModel)));
}

/// A caller may set `priority` in its own body. If the router only added its field, the engine
/// would see both, and the caller's might win: a nightly batch could overtake interactive requests.
#[test]
fn the_priority_of_the_caller_is_replaced() {
    let body = br#"{"priority":0,"model":"m","x":[1.50]}"#;
    let out = String::from_utf8(set_priority(body, 4).unwrap()).unwrap();
    assert_eq!(out, r#"{"model":"m","priority":4,"x":[1.50]}"#);
}

// A caller fills a body of the allowed size with the smallest messages or fields. Each becomes an
// entry several times its size in memory, which the limit on body sizes doesn't cover, so the body
// is refused.
#[test]
fn a_body_of_too_many_small_parts_is_refused() {
    let messages = |count| {
        format!(
            r#"{{"model":"m","messages":[{}]}}"#,
            vec!["{}"; count].join(",")
        )
    };
    assert!(Payload::decode(messages(16_384).as_bytes()).is_ok());
    assert!(Payload::decode(messages(16_385).as_bytes()).is_err());
    let fields = |count| {
        let fields = (0..count).map(|number| format!(r#""f{number}":0"#));
        format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
    };
    assert!(set_priority(fields(1_024).as_bytes(), 1).is_ok());
    assert!(set_priority(fields(1_025).as_bytes(), 1).is_err());
}
