//! Hop-by-hop headers aren't relayed.

use crocushold_http::relay_headers;
use http_types::Headers;
use http_types::Response;

// Headers that describe one connection must not be relayed to the other: they would announce a
// framing that the relayed body doesn't have, or expose headers that `Connection` names as
// hop-by-hop.
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
