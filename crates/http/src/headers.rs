//! Which headers pass from one connection to the next.

use http_types::Headers;
use http_types::headers::CONNECTION;
use http_types::headers::HeaderName;

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
/// Left out are the hop-by-hop headers, those that the `Connection` header names, the framing (which
/// is set from the body that is sent), and values that hold control characters.
pub fn relay_headers(from: &Headers, to: &mut Headers) {
    let named = connection_options(from);
    for (name, values) in from.iter() {
        if is_hop_by_hop(name) || named.iter().any(|option| option == name.as_str()) {
            continue;
        }
        for value in values.iter().filter(|value| is_safe(value.as_str())) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Drops the headers whose values would break the head, and the framing that the encoder sets.
///
/// A line feed in a value starts a new header, and a blank line the body. async-h1 itself makes
/// such a value: the `Date` that it adds to an answer without one ends in a line break.
pub(crate) fn clean_headers(headers: &mut Headers) {
    let unsafe_names: Vec<HeaderName> = headers
        .iter()
        .filter(|(name, values)| {
            is_framing(name) || !values.iter().all(|value| is_safe(value.as_str()))
        })
        .map(|(name, _)| name.clone())
        .collect();
    for name in unsafe_names {
        headers.remove(name);
    }
}

/// Whether the `Connection` header holds `option`.
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

fn is_safe(value: &str) -> bool {
    value
        .bytes()
        .all(|byte| byte == b'\t' || !byte.is_ascii_control())
}
