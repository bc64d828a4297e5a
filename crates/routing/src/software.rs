//! Software versions of servers.

use serde::Deserialize;
use serde::Serialize;
use twox_hash::XxHash3_64;

/// Identifies a software version by a hash of its name, which is the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SoftwareKey(u32);

impl SoftwareKey {
    /// Returns the key of the version with this name.
    pub fn new(name: &str) -> SoftwareKey {
        SoftwareKey(XxHash3_64::oneshot(name.as_bytes()) as u32)
    }
}
