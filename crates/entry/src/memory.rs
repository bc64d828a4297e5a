//! Memory accounting for callers' requests.

use crocushold_config::CONNECTION_BYTES;
use crocushold_config::Settings;
use crocushold_http::RequestTarget;
use http_types::Headers;
use http_types::Request;

/// Copies of a request's head and body: the queued one and the one being sent, as the request may
/// have to be sent again.
const REQUEST_COPIES: u64 = 2;

/// Overhead of a header beside its text: a map entry and three allocations.
const HEADER_OVERHEAD_BYTES: usize = 350;

/// Further overhead of a request: its URL, its queue entry, and the messages of its tasks.
const REQUEST_OVERHEAD_BYTES: usize = 2048;

/// Maximum size of the record of an idempotency key.
const KEY_RECORD_BYTES: u64 = 290;

/// Maximum memory, in bytes, of a request with a body of `body` bytes.
pub(crate) fn footprint(request: &Request, body: u64) -> u64 {
    let headers: &Headers = request.as_ref();
    let headers = headers.iter().map(|(name, values)| {
        let values = values.iter().map(|value| value.as_str().len());
        name.as_str().len()
            + values
                .map(|length| length + HEADER_OVERHEAD_BYTES)
                .sum::<usize>()
    });
    let head = headers.sum::<usize>()
        + RequestTarget::of(request).map_or(0, |target| target.as_str().len())
        + REQUEST_OVERHEAD_BYTES;
    REQUEST_COPIES * (body + head as u64)
}

/// Maximum memory, in bytes, that callers can make an instance use beyond what it uses without
/// them.
pub(crate) fn max_memory(settings: &Settings, keys: usize) -> u64 {
    let connections = u64::from(settings.limits.connections) * CONNECTION_BYTES;
    settings.memory + connections + keys as u64 * KEY_RECORD_BYTES
}
