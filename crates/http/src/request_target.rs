//! Targets of requests as they were received.
//!
//! async-h1 parses a target into a URL, which removes dot segments and fragments and encodes characters, and writes the
//! changed text. A [`RequestTarget`] travels beside the request in its place: the server takes it from the request line,
//! and the client writes it there again.

use std::sync::Arc;

use http_types::Method;
use http_types::Request;
use http_types::Url;
use quick_error::quick_error;

/// The URL of requests whose target is a [`RequestTarget`]. It is neither sent nor read.
const UNUSED_URL: &str = "http://unused.invalid/";

/// Characters of a path and a query besides letters, digits and escapes (RFC 3986, appendix A).
const PATH_CHARACTERS: &[u8] = b"-._~!$&'()*+,;=:@/";

/// Characters of a host and a port besides letters, digits and escapes. The brackets enclose an IPv6 address.
const HOST_CHARACTERS: &[u8] = b"-._~!$&'()*+,;=:[]";

quick_error! {
    /// A text isn't the target of a request to a server (RFC 9112, section 3.2).
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum MalformedTarget {
        /// It is neither a path, nor an HTTP URL with a host, nor an asterisk.
        Form {
            display("the target isn't a path, an HTTP URL or an asterisk")
        }
        /// It contains a character that must be percent-encoded, or an incomplete escape.
        Character {
            display("the target contains a character that must be percent-encoded")
        }
    }
}

/// The target of a request, byte for byte.
///
/// It is a path with an optional query (origin form), a URL (absolute form) or an asterisk. Each request that was
/// received has one as its extension. A request that has one is sent with it; its URL is ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    text: Arc<str>,
    /// Where the path begins.
    path: usize,
}

impl RequestTarget {
    /// Checks a target.
    ///
    /// # Errors
    ///
    /// Fails if the text isn't a target by RFC 9112, or is that of a `CONNECT` request.
    pub fn parse(text: &str) -> Result<RequestTarget, MalformedTarget> {
        let path = match after_scheme(text) {
            _ if text.starts_with('/') || text == "*" => 0,
            Some(start) => {
                let rest = &text[start..];
                let length = rest.find(['/', '?']).unwrap_or(rest.len());
                check_host(&rest[..length])?;
                start + length
            }
            None => return Err(MalformedTarget::Form),
        };
        let (path_part, query) = split_query(&text[path..]);
        check(path_part, PATH_CHARACTERS)?;
        // Within a query, further question marks are ordinary characters.
        for part in query.unwrap_or_default().split('?') {
            check(part, PATH_CHARACTERS)?;
        }
        Ok(RequestTarget {
            text: text.into(),
            path,
        })
    }

    /// The target of a request that was received.
    pub fn of(request: &Request) -> Option<&RequestTarget> {
        request.ext().get()
    }

    /// The target as it was received.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The path without the query, as it was received; `/` for a URL without a path, `*` for an asterisk.
    pub fn path(&self) -> &str {
        match split_query(&self.text[self.path..]).0 {
            "" => "/",
            path => path,
        }
    }

    /// The host and the port of a URL.
    pub(crate) fn authority(&self) -> Option<&str> {
        let start = after_scheme(&self.text)?;
        Some(&self.text[start..self.path])
    }

    /// Makes a request with this target and without headers. The client adds a `Host` header if it still has none
    /// when it is sent.
    pub fn request(&self, method: Method) -> Request {
        let url = Url::parse(UNUSED_URL).expect("the constant is a URL");
        let mut request = Request::new(method, url);
        request.ext_mut().insert(self.clone());
        request
    }
}

/// The path of a request that was received, as it was received; empty for other requests.
pub fn request_path(request: &Request) -> &str {
    RequestTarget::of(request).map_or("", RequestTarget::path)
}

/// Checks the host and optional port of a `Host` header or of a URL. User names aren't allowed (RFC 9110, section
/// 4.2.4).
pub(crate) fn check_host(text: &str) -> Result<(), MalformedTarget> {
    if text.is_empty() || text.starts_with(':') {
        return Err(MalformedTarget::Form);
    }
    check(text, HOST_CHARACTERS)
}

/// Where the authority of an HTTP URL begins.
fn after_scheme(text: &str) -> Option<usize> {
    let mut lengths = ["http://", "https://"].into_iter().filter(|scheme| {
        let start = text.get(..scheme.len());
        start.is_some_and(|start| start.eq_ignore_ascii_case(scheme))
    });
    lengths.next().map(str::len)
}

fn split_query(text: &str) -> (&str, Option<&str>) {
    match text.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (text, None),
    }
}

fn check(text: &str, others: &[u8]) -> Result<(), MalformedTarget> {
    let bytes = text.as_bytes();
    let is_valid = |(index, byte): (usize, &u8)| match byte {
        b'%' => bytes
            .get(index + 1..index + 3)
            .is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit)),
        _ => byte.is_ascii_alphanumeric() || others.contains(byte),
    };
    if bytes.iter().enumerate().all(is_valid) {
        Ok(())
    } else {
        Err(MalformedTarget::Character)
    }
}
