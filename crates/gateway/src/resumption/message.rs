//! Messages between instances about the origins of streams.

use crocushold_base::Millis;
use crocushold_routing::SoftwareKey;
use serde::Deserialize;
use serde::Serialize;
use twox_hash::XxHash3_64;

/// Identifies a stream by a hash of the attempt that brought its first event and of the account, so
/// that no account can name another's streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(pub(super) u64);

impl StreamKey {
    /// Returns the key of the stream that began with an attempt of an account.
    pub fn new(account: Option<&str>, attempt: &str) -> StreamKey {
        let account = XxHash3_64::oneshot(account.unwrap_or_default().as_bytes());
        StreamKey(XxHash3_64::oneshot_with_seed(account, attempt.as_bytes()))
    }
}

/// Which software version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub key: StreamKey,
    /// The software version of the server that began it.
    pub software: SoftwareKey,
    /// How much longer it may be taken up.
    pub remaining: Millis,
}

/// A question for the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The sender's number of the question.
    pub number: u32,
    /// The stream.
    pub key: StreamKey,
}

/// The reply to an [`OriginQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// Number of the question.
    pub number: u32,
    /// The software version that began the stream; `None` if the sender doesn't know it.
    pub software: Option<SoftwareKey>,
}
