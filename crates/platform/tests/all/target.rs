//! Targets whose parts were chosen by someone else.

use crocushold_platform::Target;
use http_types::Url;
use proptest::prelude::*;

/// A target as a server reads it.
fn received(target: &Target) -> Url {
    Url::parse(&format!("http://platform{target}")).expect("a URL")
}

proptest! {
    /// Guards against a value that ends its parameter or adds another one.
    #[test]
    fn any_text_arrives_as_a_parameter(value in ".*", other in any::<u64>()) {
        let target = Target::new("/list").parameter("after", &value).parameter("limit", other);
        let read: Vec<(String, String)> = received(&target).query_pairs().into_owned().collect();
        let expected = [("after".to_owned(), value), ("limit".to_owned(), other.to_string())];
        prop_assert_eq!(read, expected);
    }

    /// Guards against a value that ends the path or adds a segment to it.
    #[test]
    fn any_text_arrives_as_a_segment(value in ".*") {
        let target = Target::new("/parts").segment(&value).parameter("age", 1);
        let url = received(&target);
        let encoded = url.path().strip_prefix("/parts/").expect("the literal part");
        // A URL has no segments of dots alone.
        prop_assume!(value != "." && value != "..");
        prop_assert!(!encoded.contains('/'));
        let read = percent_encoding::percent_decode_str(encoded).decode_utf8().expect("text");
        prop_assert_eq!(read, value);
        prop_assert_eq!(url.query(), Some("age=1"));
    }
}

/// Guards against a space that a server reads as a plus sign, or the reverse.
#[test]
fn spaces_and_plus_signs_are_told_apart() {
    let target = Target::new("/list").parameter("after", "a b+c");
    assert_eq!(target.as_str(), "/list?after=a%20b%2Bc");
}
