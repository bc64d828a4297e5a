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
    /// How much longer its caller may hold it.
    pub remaining: Millis,
}

/// A question for the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The sender's number of the question.
    pub number: u32,
    /// The stream; `None` if its caller doesn't say how it began.
    pub key: Option<StreamKey>,
    /// Hash of the name of its service.
    pub service: u32,
}

/// The reply to an [`OriginQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// Number of the question.
    pub number: u32,
    /// The software version that began the stream; `None` if the sender doesn't know it.
    pub software: Option<SoftwareKey>,
    /// The versions of the service that the sender has seen.
    pub seen: SeenSoftware,
}

/// The software versions of a service that an instance has seen in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenSoftware {
    /// The longest time for which it knows that callers hold streams.
    pub span: Millis,
    /// How long it has had contact to the store; zero if it has none.
    pub contact: Millis,
    /// The versions.
    pub latest: LatestSoftware,
}

/// The software version that was listed last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatestSoftware {
    /// The version; `None` if none was listed.
    pub software: Option<SoftwareKey>,
    /// Time for which no server of another version has served; zero if one is listed.
    pub alone: Millis,
}

impl SeenSoftware {
    /// Whether it had contact to the store for longer than callers hold streams, as far as it knows.
    pub fn is_complete(&self) -> bool {
        self.contact > self.span
    }

    /// The only version that has served for longer than callers hold streams, according to what several
    /// instances have seen: one of them has seen all of that time, and none has seen another version in
    /// it. The one that knows of the longest time decides how long that is.
    pub fn only_version(all: &[SeenSoftware]) -> Option<SoftwareKey> {
        let span = all.iter().map(|seen| seen.span).max()?;
        let complete = all.iter().find(|seen| seen.contact > span)?;
        let only = complete.latest.software?;
        let agrees = |seen: &SeenSoftware| match seen.latest.software {
            None => seen.contact <= span,
            Some(software) => software == only && seen.latest.alone > span,
        };
        all.iter().all(agrees).then_some(only)
    }
}
