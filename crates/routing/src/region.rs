//! Regions in which a request may run.

use serde::Deserialize;
use serde::Serialize;
use twox_hash::XxHash3_64;

/// Identifies a region by a hash of its name, which is the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegionKey(u32);

impl RegionKey {
    /// Returns the key of the region with this name.
    pub fn new(name: &str) -> RegionKey {
        RegionKey(XxHash3_64::oneshot(name.as_bytes()) as u32)
    }
}
