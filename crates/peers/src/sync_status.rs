//! Sync status of the configuration, shown to the operator.

use crocushold_base::Millis;

use crate::identity::InstanceId;
use crate::message::Status;

/// How current the configuration in force is, as known by one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SyncStatus {
    /// The highest revision reported by the platform or a peer.
    pub newest_revision: u64,
    /// Time since the platform last returned a revision that wasn't older than the one held; `None`
    /// if it never did.
    pub confirmed_age: Option<Millis>,
    /// The live peers, ordered by name.
    pub peers: Vec<PeerSyncStatus>,
}

/// Sync status of a live peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSyncStatus {
    /// The peer.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: String,
    /// Its status, alive or suspect.
    pub status: Status,
    /// The last revision that it reported; 0 if none.
    pub revision: u64,
    /// Time since this instance itself last received a message of it; `None` if it never did, or if
    /// the peer doesn't answer.
    pub heard_age: Option<Millis>,
}
