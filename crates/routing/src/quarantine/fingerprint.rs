//! Identifies requests, and parts of prompts, by their content.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use twox_hash::XxHash3_128;

/// A hash of the whole content of a request. A repeated request has the same fingerprint, whatever
/// name its caller gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Returns the fingerprint of a request with these parts: the operation, the account and the
    /// body.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        // Each part is hashed separately, so that moving bytes from one part to the next changes
        // the result.
        let hashes = parts.iter().map(|part| XxHash3_128::oneshot(part));
        let bytes: Vec<u8> = hashes.flat_map(u128::to_le_bytes).collect();
        Fingerprint(XxHash3_128::oneshot(&bytes))
    }
}

/// The content of a request: the whole of it, and the parts of its prompt that other requests may
/// have as well.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestContent {
    /// Fingerprint of the request and its account.
    pub request: Fingerprint,
    /// Fingerprints of the shared parts of its prompt.
    pub parts: Arc<[Fingerprint]>,
}

impl From<Fingerprint> for RequestContent {
    /// A request whose prompt has no parts that others may have.
    fn from(request: Fingerprint) -> RequestContent {
        RequestContent {
            request,
            parts: Arc::default(),
        }
    }
}
