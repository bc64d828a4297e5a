//! Selecting the headers that are relayed.

use http_types::Headers;
use http_types::headers::CONNECTION;
use http_types::headers::CONTENT_TYPE;
use http_types::headers::HeaderName;
use http_types::headers::HeaderValue;

use crate::grammar::is_header_name;
use crate::grammar::is_header_value;

/// Headers that describe one connection or the framing on it (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Copies the end-to-end headers of a message.
///
/// Leaves out the hop-by-hop headers, those named by the `Connection` header, the framing headers
/// (which are set from the body that is sent), and headers that aren't of the grammar of HTTP.
pub fn relay_headers(from: &Headers, to: &mut Headers) {
    let named = connection_options(from);
    for (name, values) in from.iter() {
        if is_hop_by_hop(name) || named.iter().any(|option| option == name.as_str()) {
            continue;
        }
        for value in values.iter().filter(|value| is_header(name, value)) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Calls `change`, which sets or takes the body of a message, and leaves the content type as it was: http-types would set
/// one of its own.
pub fn keep_content_type<M, T>(message: &mut M, change: impl FnOnce(&mut M) -> T) -> T
where
    M: AsRef<Headers> + AsMut<Headers>,
{
    let values = message.as_ref().get(CONTENT_TYPE).cloned();
    let result = change(message);
    match values {
        Some(values) => message.as_mut().insert(CONTENT_TYPE, &values),
        None => message.as_mut().remove(CONTENT_TYPE),
    };
    result
}

/// Removes headers whose names or values aren't of the grammar of HTTP, and the framing headers, which the
/// encoder sets.
///
/// A line feed in a name or a value would start a new header, and a blank line would start the body. async-h1
/// itself produces such a value: the `Date` that it adds to an answer without one ends in a line
/// break.
pub(crate) fn sanitize_headers(headers: &mut Headers) {
    let removed: Vec<HeaderName> = headers
        .iter()
        .filter(|(name, values)| {
            is_framing(name) || !values.iter().all(|value| is_header(name, value))
        })
        .map(|(name, _)| name.clone())
        .collect();
    for name in removed {
        headers.remove(name);
    }
}

/// Whether the `Connection` header contains `option`.
pub(crate) fn has_connection_option(headers: &Headers, option: &str) -> bool {
    connection_options(headers).iter().any(|o| o == option)
}

fn connection_options(headers: &Headers) -> Vec<String> {
    let Some(values) = headers.get(CONNECTION) else {
        return Vec::new();
    };
    values
        .iter()
        .flat_map(|value| value.as_str().split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
}

fn is_framing(name: &HeaderName) -> bool {
    matches!(name.as_str(), "content-length" | "transfer-encoding")
}

/// Whether a header can be written so that every reader finds the same one.
fn is_header(name: &HeaderName, value: &HeaderValue) -> bool {
    is_header_name(name.as_str().as_bytes()) && is_header_value(value.as_str().as_bytes())
}
