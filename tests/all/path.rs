//! Requests end to end: a caller, an entry instance, a backend server and the platform.

use http_types::Method;
use test_case::test_case;

use crate::support::Call;
use crate::support::RawCaller;
use crate::support::RawServer;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::answer_rest;
use crate::support::call;

#[test]
fn a_streamed_answer_arrives_whole_with_its_usage() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let answer = call(entry.listen, &Call::chat(true, 5)).unwrap();
    assert_eq!(answer.status, 200);
    assert!(answer.whole);
    assert!(
        answer.body.contains("\"completion_tokens\":5"),
        "{}",
        answer.body
    );
    assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body);
    assert!(answer.header("x-request-id").starts_with("entry-1-"));
}

#[test]
fn a_whole_answer_passes_unchanged() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let answer = call(entry.listen, &Call::chat(false, 3)).unwrap();
    assert_eq!(answer.status, 200);
    assert!(
        answer.body.contains("\"completion_tokens\":3"),
        "{}",
        answer.body
    );
}

#[test]
fn a_plain_call_reaches_its_service_once() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let answer = call(entry.listen, &Call::booking("b-1")).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(site.service.effects("b-1"), 1);
}

#[test_case("nobody", "/v1/models", 401, "unauthorized"; "unknown key")]
#[test_case("team.batch", "/booking/slots", 404, "not_found"; "path of a service it may not use")]
#[test_case("team.chat", "/elsewhere", 404, "not_found"; "unknown path")]
fn a_refusal_says_why_and_that_nothing_ran(key: &str, path: &str, status: u16, reason: &str) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let refused = Call {
        method: Method::Get,
        path: path.to_owned(),
        ..Call::chat(false, 1).key(key)
    };
    let answer = call(entry.listen, &refused).unwrap();
    assert_eq!(answer.status, status);
    assert_eq!(answer.header("x-refusal-reason"), reason);
    assert_eq!(answer.header("x-request-ran"), "no");
}

/// Guards against a target that reaches a server changed, as by a parser of URLs.
#[test_case("/booking/x?teacher=O'Higgins"; "apostrophe")]
#[test_case("/booking/a/../x"; "dot segments")]
#[test_case("/booking/%2e%2e/other/x"; "escaped dot segments")]
#[test_case("/booking//x//?"; "doubled slashes and an empty query")]
#[test_case("http://entry/booking/./x"; "absolute form")]
fn a_target_arrives_unchanged(target: &str) {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let old = site.service.addr().to_string();
    site.publish(|text| text.replace(&old, &server.addr().to_string()));
    let entry = site.entry("entry-1");
    entry.wait_active(2);
    let booking = Call {
        path: target.to_owned(),
        ..Call::booking("b-1")
    };
    let mut caller = RawCaller::send(entry.listen, &booking);
    let (stream, line) = server.accept_line("booking");
    assert_eq!(line, format!("POST {target} HTTP/1.1"));
    answer_rest(stream, booking.body.len());
    assert!(caller.read_until("ok"), "{}", caller.text());
}

/// Guards against a target that isn't one by RFC 9112 and that a server reads in another way than the instance.
#[test_case("/booking/x#part"; "fragment")]
#[test_case("/booking\\x"; "backslash")]
#[test_case("/booking/%zz"; "incomplete escape")]
#[test_case("http://other/booking/x"; "another host")]
fn a_malformed_target_is_refused(target: &str) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let booking = Call {
        path: target.to_owned(),
        ..Call::booking("b-1")
    };
    let mut caller = RawCaller::send(entry.listen, &booking);
    let answer = caller.read_to_end();
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert_eq!(site.service.effects("b-1"), 0);
}

/// Guards against a request that is run though it stood in the body of another one, whose head holds another line end than
/// CR LF.
#[test_case("\n"; "line feed")]
#[test_case("\n\r\n"; "empty line after a line feed")]
#[test_case("\r"; "carriage return")]
fn a_request_in_the_body_of_another_one_is_never_run(line_end: &str) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let inner = Call::booking("b-inner");
    let outer = Call {
        body: inner.head() + &inner.body,
        ..Call::booking("b-outer")
    };
    let note = format!("\r\nx-note: 1{line_end}x-more: 1\r\n");
    let mut caller = RawCaller::connect(entry.listen);
    caller.write(outer.head().replacen("\r\n", &note, 1).as_bytes());
    caller.write(outer.body.as_bytes());
    let answers = caller.read_to_end();
    assert!(answers.starts_with("HTTP/1.1 400 "), "{answers}");
    assert_eq!(answers.matches("HTTP/1.1").count(), 1, "{answers}");
    assert_eq!(site.service.effects("b-inner"), 0);
    assert_eq!(site.service.effects("b-outer"), 0);
}

#[test]
fn the_models_of_an_account_are_listed() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let list = Call {
        method: Method::Get,
        path: "/v1/models".to_owned(),
        ..Call::chat(false, 1)
    };
    let answer = call(entry.listen, &list).unwrap();
    assert!(answer.body.contains("\"id\":\"m\""), "{}", answer.body);
}
