//! Differences between two texts.
//!
//! Most changes affect a few lines of a part, so only the bytes between the common prefix and the
//! common suffix are sent. The receiver verifies the hash of the result.

use crate::message::Delta;

impl Delta {
    /// Computes the difference from `old` to `new`.
    pub fn between(old: &str, new: &str) -> Delta {
        let (old, new) = (old.as_bytes(), new.as_bytes());
        let prefix = common(old.iter().zip(new));
        let (old, new) = (&old[prefix..], &new[prefix..]);
        let suffix = common(old.iter().rev().zip(new.iter().rev()));
        Delta {
            prefix: prefix as u32,
            suffix: suffix as u32,
            middle: new[..new.len() - suffix].to_vec(),
        }
    }

    /// Returns the new text; `None` if `old` is too short or the result isn't UTF-8.
    pub fn apply(&self, old: &str) -> Option<String> {
        let old = old.as_bytes();
        let (prefix, suffix) = (self.prefix as usize, self.suffix as usize);
        let kept = prefix.checked_add(suffix)?;
        if kept > old.len() {
            return None;
        }
        let parts = [&old[..prefix], &self.middle, &old[old.len() - suffix..]];
        String::from_utf8(parts.concat()).ok()
    }
}

fn common<'a>(pairs: impl Iterator<Item = (&'a u8, &'a u8)>) -> usize {
    pairs.take_while(|(a, b)| a == b).count()
}
