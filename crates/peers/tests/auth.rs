//! Tests of mutual authentication.

use crocushold_peers::InstanceId;
use crocushold_peers::Role;
use crocushold_peers::SharedKey;
use crocushold_peers::Transcript;
use crocushold_peers::hmac_sha256;
use test_case::test_case;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn transcript() -> Transcript {
    Transcript {
        version: 2,
        caller: InstanceId::new("entry-1"),
        caller_challenge: [1; 32],
        callee_challenge: [2; 32],
    }
}

// Test cases 1, 2 and 6 of RFC 4231; the last key is longer than a block.
#[test_case(&[0x0b; 20], b"Hi There",
    "b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7")]
#[test_case(
    b"Jefe",
    b"what do ya want for nothing?",
    "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843"
)]
#[test_case(&[0xaa; 131], b"Test Using Larger Than Block-Size Key - Hash Key First",
    "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54")]
fn hmac_gives_the_published_values(key: &[u8], message: &[u8], expected: &str) {
    assert_eq!(hex(&hmac_sha256(key, message)), expected);
}

/// A caller that reflects each proof back to the end that made it must not be authenticated.
#[test]
fn a_proof_holds_for_one_role_key_and_pair_of_challenges() {
    let key = SharedKey::new(b"key");
    let here = transcript();
    let proof = here.proof(&key, Role::Caller);
    assert!(here.verify(&key, Role::Caller, &proof));
    assert!(!here.verify(&key, Role::Callee, &proof));
    assert!(!here.verify(&SharedKey::new(b"other"), Role::Caller, &proof));
    assert!(!here.verify(&key, Role::Caller, &proof[..31]));
    assert!(!here.verify(&key, Role::Caller, &[]));
    let mut there = transcript();
    there.callee_challenge[0] ^= 1;
    assert!(!there.verify(&key, Role::Caller, &proof));
}

#[test]
fn debug_output_hides_the_key() {
    let key = SharedKey::new(b"secret");
    assert!(!format!("{key:?}").contains("secret"));
}
