//! Headers of one connection stay on it.

use crocushold_http::relay_headers;
use http_types::Headers;
use http_types::Response;

// A header that describes the connection to one side would, passed on, mislead the other: framing
// that isn't the body's, or a name that the `Connection` header marks as private.
#[test]
fn only_end_to_end_headers_are_relayed() {
    let mut from = Response::new(200);
    for (name, value) in [
        ("content-type", "text/event-stream"),
        ("x-request-id", "7: \"seven\""),
        ("connection", "keep-alive, X-Private"),
        ("x-private", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("content-length", "9"),
        ("upgrade", "h2c"),
        ("te", "trailers"),
        ("x-split", "a\r\nset-cookie: b"),
    ] {
        from.append_header(name, value);
    }
    from.append_header("x-twice", "1");
    from.append_header("x-twice", "2");
    let mut to = Response::new(200);
    relay_headers(from.as_ref(), to.as_mut());
    let headers: &Headers = to.as_ref();
    let mut names: Vec<String> = headers.names().map(ToString::to_string).collect();
    names.sort();
    assert_eq!(names, ["content-type", "x-request-id", "x-twice"]);
    assert_eq!(
        headers.get("x-twice").map(|values| values.iter().count()),
        Some(2)
    );
}
