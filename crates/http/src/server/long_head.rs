//! Heads that are longer than async-h1 can parse.
//!
//! async-h1 parses heads of at most 8 KB. Longer heads are long because of a few values (parts of a
//! prompt, a cookie), so long lines are removed before parsing and their headers added to the
//! parsed request.

use http_types::Request;
use http_types::headers::HeaderName;
use http_types::headers::HeaderValue;

use crate::connection::LINE_END;

/// The shortest line that is removed, in bytes. A head is long because of a few long values.
const LONG_LINE_BYTES: usize = 256;

/// Headers that determine how a message is parsed, which are never removed. Without them the parser
/// wouldn't know the framing and would read the body as the next request.
const NEVER_REMOVED: [&str; 6] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "transfer-encoding",
    "upgrade",
];

/// A header that was removed from a head.
pub(super) struct RemovedHeader {
    name: HeaderName,
    value: HeaderValue,
}

/// Removes long lines of a head, whose lines were checked, until at most `max_length` bytes are left; `None` if that is
/// impossible.
pub(super) fn remove_long_lines(
    head: &[u8],
    max_length: usize,
) -> Option<(Vec<u8>, Vec<RemovedHeader>)> {
    let text = std::str::from_utf8(head).ok()?;
    let mut remaining = head.len();
    let mut kept = String::with_capacity(max_length);
    let mut removed = Vec::new();
    for (index, line) in text.split_inclusive(LINE_END).enumerate() {
        if index > 0 && remaining > max_length && line.len() >= LONG_LINE_BYTES {
            remaining -= line.len();
            removed.push(removed_header(line)?);
        } else {
            kept.push_str(line);
        }
    }
    (remaining <= max_length).then(|| (kept.into_bytes(), removed))
}

fn removed_header(line: &str) -> Option<RemovedHeader> {
    let (name, value) = line.strip_suffix(LINE_END)?.split_once(':')?;
    let mut never_removed = NEVER_REMOVED.iter();
    if never_removed.any(|kept| name.eq_ignore_ascii_case(kept)) {
        return None;
    }
    Some(RemovedHeader {
        name: HeaderName::from_bytes(name.as_bytes().to_vec()).ok()?,
        value: HeaderValue::from_bytes(value.trim().as_bytes().to_vec()).ok()?,
    })
}

/// Adds the removed headers to the parsed request.
pub(super) fn restore_lines(request: &mut Request, removed: Vec<RemovedHeader>) {
    for RemovedHeader { name, value } in removed {
        request.append_header(name, value);
    }
}
