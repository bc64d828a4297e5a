//! What an operator is shown of an instance's knowledge of the configuration.

use crocushold_base::Millis;

use crate::identity::InstanceId;
use crate::message::Status;

/// How fresh the configuration in force is, as one instance knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SyncStatus {
    /// The highest revision that the platform or a peer told of.
    pub newest_revision: u64,
    /// Since the platform last answered with a revision that isn't older than the one held; none
    /// when it never did.
    pub confirmed_age: Option<Millis>,
    /// The live peers, in order of their names.
    pub peers: Vec<PeerSyncStatus>,
}

/// What is known of a live peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSyncStatus {
    /// The peer.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is suspected.
    pub status: Status,
    /// The revision that it told last; 0 when none was heard.
    pub revision: u64,
    /// Since it was last heard by this instance itself; none when it never was, or doesn't answer.
    pub heard_age: Option<Millis>,
}
