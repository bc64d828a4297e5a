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

/// The software versions of a service that an instance has seen in the store within the longest time
/// for which a stream may last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenSoftware {
    /// Whether it had contact to the store for all of that time.
    pub complete: bool,
    /// The versions.
    pub versions: SoftwareVersions,
}

/// Some software versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum SoftwareVersions {
    /// None.
    #[default]
    None,
    /// A single one.
    One(SoftwareKey),
    /// Several.
    Several,
}

impl SeenSoftware {
    /// The only version that has served, according to what several instances have seen: one of them has
    /// seen all of the time, and none has seen another version.
    pub fn only_version(all: &[SeenSoftware]) -> Option<SoftwareKey> {
        let complete = all.iter().find(|seen| seen.complete)?;
        let SoftwareVersions::One(only) = complete.versions else {
            return None;
        };
        let agrees = |seen: &SeenSoftware| match seen.versions {
            SoftwareVersions::None => !seen.complete,
            SoftwareVersions::One(software) => software == only,
            SoftwareVersions::Several => false,
        };
        all.iter().all(agrees).then_some(only)
    }
}
