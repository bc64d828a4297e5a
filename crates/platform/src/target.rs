//! Targets of requests: a path, and a query.

use std::fmt;
use std::fmt::Display;

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;

/// All characters but those that RFC 3986 calls unreserved, which mean the same encoded or not.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// The target of a request.
///
/// Its fixed parts are literals. Values are percent-encoded as they are added, so that no character
/// of a value that someone else has chosen ends or changes the target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// A target without a query. `path` begins with a slash.
    pub fn new(path: &'static str) -> Target {
        Target {
            text: path.to_owned(),
            has_query: false,
        }
    }

    /// Adds a segment to the path, which must have no query yet.
    #[must_use]
    pub fn segment(mut self, value: impl Display) -> Target {
        debug_assert!(!self.has_query, "a segment after the query");
        self.text.push('/');
        self.push_encoded(value);
        self
    }

    /// Adds a parameter to the query.
    #[must_use]
    pub fn parameter(mut self, name: &'static str, value: impl Display) -> Target {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.text.push_str(name);
        self.text.push('=');
        self.push_encoded(value);
        self
    }

    /// The encoded text.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    fn push_encoded(&mut self, value: impl Display) {
        let value = value.to_string();
        self.text.extend(utf8_percent_encode(&value, RESERVED));
    }
}

impl Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
