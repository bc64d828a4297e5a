//! Mutual authentication of the two ends of a connection by a shared key.
//!
//! Each end answers the other's random challenge with an HMAC-SHA256 over both challenges and its
//! own role, so that a proof can neither be reflected to the end that made it nor replayed on
//! another connection.

use std::fmt;

use rand::Rng;
use sha2::Digest;
use sha2::Sha256;

use crate::identity::InstanceId;

/// Length of a challenge in bytes.
pub(crate) const CHALLENGE_BYTES: usize = 32;

/// Block size of SHA-256 in bytes.
const BLOCK: usize = 64;

/// Bytes that the key is XORed with in the inner and the outer hash (RFC 2104).
const INNER_PAD: u8 = 0x36;
const OUTER_PAD: u8 = 0x5c;

/// A random challenge.
pub(crate) type Challenge = [u8; CHALLENGE_BYTES];

/// A proof: an HMAC-SHA256.
pub type Proof = [u8; 32];

/// Generates a random challenge.
pub(crate) fn random_challenge(rng: &mut impl Rng) -> Challenge {
    let mut challenge = Challenge::default();
    rng.fill_bytes(&mut challenge);
    challenge
}

/// Computes HMAC-SHA256 (RFC 2104). None of the declared dependencies offers HMAC over SHA-256.
pub fn hmac_sha256(key: &[u8], message: &[u8]) -> Proof {
    let mut block = [0; BLOCK];
    if key.len() > BLOCK {
        block[..32].copy_from_slice(&Sha256::digest(key));
    } else {
        block[..key.len()].copy_from_slice(key);
    }
    let inner = Sha256::new()
        .chain_update(block.map(|byte| byte ^ INNER_PAD))
        .chain_update(message)
        .finalize();
    let outer = Sha256::new()
        .chain_update(block.map(|byte| byte ^ OUTER_PAD))
        .chain_update(inner)
        .finalize();
    outer.into()
}

/// The key that all instances of a fleet share.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl SharedKey {
    /// Creates a key from its bytes.
    pub fn new(key: &[u8]) -> SharedKey {
        SharedKey(key.to_vec())
    }
}

/// Hides the key, so that it can't end up in a log.
impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(..)")
    }
}

/// Which end of a connection makes a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The end that connected.
    Caller,
    /// The end that accepted the connection.
    Callee,
}

/// The values that both ends of a connection have exchanged during the handshake.
#[derive(Clone, Debug)]
pub struct Transcript {
    /// The negotiated protocol version.
    pub version: u16,
    /// The end that connected.
    pub caller: InstanceId,
    /// The challenge of the end that connected.
    pub caller_challenge: Challenge,
    /// The challenge of the end that accepted the connection.
    pub callee_challenge: Challenge,
}

impl Transcript {
    /// Computes the proof that the end in `role` holds `key`.
    pub fn proof(&self, key: &SharedKey, role: Role) -> Proof {
        let mut message = Vec::from(match role {
            Role::Caller => b"crocushold peer caller\0".as_slice(),
            Role::Callee => b"crocushold peer callee\0".as_slice(),
        });
        message.extend_from_slice(&self.version.to_be_bytes());
        message.extend_from_slice(&self.caller_challenge);
        message.extend_from_slice(&self.callee_challenge);
        message.extend_from_slice(self.caller.as_str().as_bytes());
        hmac_sha256(&key.0, &message)
    }

    /// Verifies a proof in constant time, so that its bytes can't be guessed one by one from
    /// response times.
    pub fn verify(&self, key: &SharedKey, role: Role, proof: &[u8]) -> bool {
        let expected = self.proof(key, role);
        let differing = expected
            .iter()
            .zip(proof)
            .fold(0, |acc, (a, b)| acc | (a ^ b));
        proof.len() == expected.len() && differing == 0
    }
}
