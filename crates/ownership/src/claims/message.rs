//! The messages of the claim protocol; the embedder transports them between instances.

use crocushold_base::Millis;
use twox_hash::XxHash3_128;

use crate::limits::AccountId;
use crate::view::GroupId;
use crate::view::Member;
use crate::view::ViewId;

/// An idempotency key of a client account, as a 128-bit hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Hashes the account's name and the key sent by the caller.
    pub fn new(account: &str, key: &str) -> ClaimKey {
        let mut bytes = Vec::with_capacity(8 + account.len() + key.len());
        // The length prefix distinguishes ("ab", "c") from ("a", "bc").
        bytes.extend_from_slice(&(account.len() as u64).to_le_bytes());
        bytes.extend_from_slice(account.as_bytes());
        bytes.extend_from_slice(key.as_bytes());
        ClaimKey(XxHash3_128::oneshot(&bytes))
    }

    /// The half of the key that is used for rendezvous hashing.
    pub fn placement_hash(self) -> u64 {
        self.0 as u64
    }
}

/// A hash of the method, path and body of the first request with the key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestDigest(pub u64);

/// One attempt to claim a key. Later attempts of the same claimant have a higher `seq`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId {
    /// The instance that wants to send the request.
    pub claimant: Member,
    /// Sequence number of the claimant's claims.
    pub seq: u64,
}

/// Asks a member of the key's replica group for its vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key to claim.
    pub key: ClaimKey,
    /// The account that sent the key.
    pub account: AccountId,
    /// The attempt.
    pub claim: ClaimId,
    /// Distinguishes a repeated request from another request with the same key.
    pub digest: RequestDigest,
    /// The replica group as computed by the claimant; a voter that computes another one refuses.
    pub group: GroupId,
}

/// A member's answer to a [`ClaimRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// No record prevented the claim; this attempt is now recorded.
    Granted,
    /// Another attempt holds the key.
    InProgress {
        /// When to retry.
        retry_after: Millis,
    },
    /// The request ran and was answered with this status.
    Done {
        /// The status of the answer.
        status: u16,
    },
    /// An attempt may have run; the outcome can't be determined.
    Unknown,
    /// The key was already used for a different request.
    KeyReused,
    /// There is no record, and no room for one: the table is full, or the account's part of it.
    Full {
        /// The time until the oldest record expires.
        retry_after: Millis,
    },
    /// The voter's records may be incomplete: it has recently started, resumed after a pause, or
    /// become responsible for the key.
    NotReady {
        /// When to retry.
        retry_after: Millis,
    },
    /// The voter computes another replica group for the key.
    GroupMismatch,
}

/// The outcome of a granted claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran and was answered with this status.
    Completed {
        /// The status of the answer.
        status: u16,
    },
    /// No byte of the request was sent: it certainly didn't run, and the key may be claimed again.
    NotRun,
    /// The request was sent, and no answer was received.
    Unknown,
}

/// Reports the outcome of a claim to a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettleRequest {
    /// The claimed key.
    pub key: ClaimKey,
    /// The account that sent the key.
    pub account: AccountId,
    /// The attempt.
    pub claim: ClaimId,
    /// The request's digest, for a voter that didn't receive the claim.
    pub digest: RequestDigest,
    /// The outcome of the attempt.
    pub outcome: Outcome,
}

/// The state of a recorded key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// Released: the recorded attempt didn't run and never will.
    NotRun,
    /// Granted by this member to the recorded attempt.
    InProgress,
    /// An attempt may have run.
    Unknown,
    /// Ran and was answered with this status.
    Done {
        /// The status of the answer.
        status: u16,
    },
}

/// A member's record of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The account that sent the key.
    pub account: AccountId,
    /// The request's digest.
    pub digest: RequestDigest,
    /// The attempt that holds the key; `None` if two attempts conflict.
    pub claim: Option<ClaimId>,
    /// The time of the last change on the clock of the holder; in a message, the age instead.
    pub time: Millis,
    /// The state.
    pub state: ClaimState,
}

/// A key with its record, as sent to another member; `record.time` holds the age of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: ClaimKey,
    /// Its record.
    pub record: Record,
}

/// Transfers records after a change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferRequest {
    /// The view that the sender has adopted; from now on it doesn't vote under an earlier one.
    pub view: ViewId,
    /// The records, at most `ClaimSettings::transfer_batch`.
    pub entries: Vec<Entry>,
    /// Present in the last batch.
    pub mark: Option<Mark>,
}

/// States that the sender has transferred every record that the receiver needs under the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mark {
    /// The number of views that the sender has adopted.
    pub seq: u64,
    /// Whether the sender's own records are complete.
    pub warm: bool,
    /// How long the sender refuses keys that it has newly become responsible for (see the design
    /// note).
    pub hold: Millis,
    /// Members of earlier views that ended without a hand-over. A new member never knew them, but
    /// their records are missing from its own.
    pub lost: Vec<Member>,
    /// Whether the sender is leaving the fleet in a planned stop and no longer votes.
    pub leaving: bool,
}
