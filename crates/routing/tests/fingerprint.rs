//! Tests of which requests have the same fingerprint.

use crocushold_routing::Fingerprint;
use test_case::test_case;

#[test_case(&[b"POST", b"/a/", b"one", b"body"], true; "the same again")]
#[test_case(&[b"POST", b"/a/", b"two", b"body"], false; "another account")]
#[test_case(&[b"POST", b"/b/", b"one", b"body"], false; "another path")]
#[test_case(&[b"POST", b"/a/", b"one", b"bodY"], false; "another body")]
#[test_case(&[b"POST", b"/a/", b"oneb", b"ody"], false; "bytes of the body in the account")]
fn a_request_is_known_by_what_it_asks(parts: &[&[u8]], same: bool) {
    let first = Fingerprint::of(&[b"POST", b"/a/", b"one", b"body"]);
    assert_eq!(Fingerprint::of(parts) == first, same);
}
