//! Names for the log that give nothing away.

use std::hash::BuildHasher;
use std::hash::Hash;
use std::hash::RandomState;

/// Names values by a keyed hash, whose key no other process knows.
///
/// Whoever reads a log sees which requests asked the same. It can't try prompts until one has the name: a plain
/// hash would tell when the guess is right. Each instance names the same value differently.
#[derive(Debug, Default)]
pub struct Pseudonymizer(RandomState);

impl Pseudonymizer {
    /// The name of a value, the same as long as the process runs.
    pub fn pseudonym(&self, value: impl Hash) -> String {
        format!("{:016x}", self.0.hash_one(value))
    }
}
