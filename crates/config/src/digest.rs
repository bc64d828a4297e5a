//! Digests of callers' keys, and the credentials of callers.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

/// The length of a digest in bytes.
const LEN: usize = 32;

/// The SHA-256 digest of a caller's key. The configuration contains digests only, never keys.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; LEN]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits; returns `None` for any other text.
    pub fn from_hex(text: &str) -> Option<KeyDigest> {
        let digits = text.as_bytes();
        if digits.len() != 2 * LEN {
            return None;
        }
        let mut bytes = [0; LEN];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
        }
        Some(KeyDigest(bytes))
    }
}

fn hex_digit(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// A caller's credential: the digest of its key, and the team that the key names.
///
/// A key of the form `TEAM.SECRET` is looked up only among that team's accounts. Otherwise a team
/// that copies another team's digest by mistake could take over its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Credential<'a> {
    /// The part of the key before its first full stop, if it has one.
    pub team: Option<&'a str>,
    /// The digest of the whole key.
    pub digest: KeyDigest,
}

impl<'a> Credential<'a> {
    /// Creates the credential for a key that a caller sent.
    pub fn of(key: &'a str) -> Credential<'a> {
        Credential {
            team: key.split_once('.').map(|(team, _)| team),
            digest: KeyDigest::of(key),
        }
    }

    /// Creates a credential from a digest alone, such as one given by an operator.
    pub fn from_digest(digest: KeyDigest) -> Credential<'static> {
        Credential { team: None, digest }
    }
}
