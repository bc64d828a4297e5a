//! What callers' requests take of the memory.

use crocushold_config::CONNECTION_BYTES;
use crocushold_config::Settings;
use http_types::Headers;
use http_types::Request;

/// Copies of a request's head and body: the one that waits, and the one that is being sent, since it
/// may have to be sent once more.
const REQUEST_COPIES: u64 = 2;

/// What one header takes beside its text: a place in the map and three allocations.
const HEADER_OVERHEAD_BYTES: usize = 350;

/// What else a request takes: its URL, its place in the queue, its tasks' messages.
const REQUEST_OVERHEAD_BYTES: usize = 2048;

/// What a record of an idempotency key takes at most.
const KEY_RECORD_BYTES: u64 = 290;

/// The bytes that a request with a body of `body` bytes may take.
pub(crate) fn footprint(request: &Request, body: u64) -> u64 {
    let headers: &Headers = request.as_ref();
    let headers = headers.iter().map(|(name, values)| {
        let values = values.iter().map(|value| value.as_str().len());
        name.as_str().len()
            + values
                .map(|length| length + HEADER_OVERHEAD_BYTES)
                .sum::<usize>()
    });
    let head = headers.sum::<usize>() + request.url().as_str().len() + REQUEST_OVERHEAD_BYTES;
    REQUEST_COPIES * (body + head as u64)
}

/// The most bytes that callers can make an instance hold, beside what it takes without them.
pub(crate) fn max_memory(settings: &Settings, keys: usize) -> u64 {
    let connections = u64::from(settings.limits.connections) * CONNECTION_BYTES;
    settings.memory + connections + keys as u64 * KEY_RECORD_BYTES
}
