//! Identifies repeated requests by their content.

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
