//! Pseudonyms for values in the log.

use std::hash::BuildHasher;
use std::hash::Hash;
use std::hash::RandomState;

/// Replaces values by a keyed hash with a key known to this process only.
///
/// Log readers can tell which requests were for the same value, but can't guess prompts until one
/// has the logged pseudonym: an unkeyed hash would confirm a correct guess. Each instance gives the
/// same value another pseudonym.
#[derive(Debug, Default)]
pub struct Pseudonymizer(RandomState);

impl Pseudonymizer {
    /// The pseudonym of a value, stable for the lifetime of the process.
    pub fn pseudonym(&self, value: impl Hash) -> String {
        format!("{:016x}", self.0.hash_one(value))
    }
}
