//! The messages of claims, as the shell carries them between instances.

use crocushold_base::Millis;
use twox_hash::XxHash3_128;

use crate::limits::AccountId;
use crate::view::GroupId;
use crate::view::Member;
use crate::view::ViewId;

/// An idempotency key of one client account, as a 128-bit hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Hashes the account's name and the key that the caller sent.
    pub fn new(account: &str, key: &str) -> ClaimKey {
        let mut bytes = Vec::with_capacity(8 + account.len() + key.len());
        // The length keeps ("ab", "c") and ("a", "bc") apart.
        bytes.extend_from_slice(&(account.len() as u64).to_le_bytes());
        bytes.extend_from_slice(account.as_bytes());
        bytes.extend_from_slice(key.as_bytes());
        ClaimKey(XxHash3_128::oneshot(&bytes))
    }

    /// The half of the key that places it on the members.
    pub fn placement_hash(self) -> u64 {
        self.0 as u64
    }
}

/// A hash of the method, path and body that the key was first used with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestDigest(pub u64);

/// One try at a key. A later try of the same claimant has a higher `seq`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId {
    /// The instance that wants to send the request.
    pub claimant: Member,
    /// Counts the claims of that instance.
    pub seq: u64,
}

/// Asks one member of the key's group for its vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key to claim.
    pub key: ClaimKey,
    /// The account that sent it.
    pub account: AccountId,
    /// The try.
    pub claim: ClaimId,
    /// Tells a reused key from a repeated request.
    pub digest: RequestDigest,
    /// The group that the claimant computed; a voter that computes another refuses.
    pub group: GroupId,
}

/// One member's answer to a [`ClaimRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// No record stood in the way; this try is now recorded.
    Granted,
    /// Another try holds the key.
    InProgress {
        /// When to ask again.
        retry_after: Millis,
    },
    /// The request ran and its answer had this status.
    Done {
        /// The status of the answer.
        status: u16,
    },
    /// A try may have run; nobody can tell.
    Unknown,
    /// The key was used with another request.
    KeyReused,
    /// There is no record and no room for one, in all or for the account.
    Full {
        /// When the oldest record expires.
        retry_after: Millis,
    },
    /// The voter may lack records: it started, woke or took over the key lately.
    NotReady {
        /// When to ask again.
        retry_after: Millis,
    },
    /// The voter computes another group for the key.
    GroupMismatch,
}

/// What became of a granted claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran and was answered with this status.
    Completed {
        /// The status of the answer.
        status: u16,
    },
    /// Not a byte of the request left: it truly didn't run, and may be claimed anew.
    NotRun,
    /// The request left, and no answer came.
    Unknown,
}

/// Tells a voter what became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettleRequest {
    /// The key that was claimed.
    pub key: ClaimKey,
    /// The account that sent it.
    pub account: AccountId,
    /// The try.
    pub claim: ClaimId,
    /// The request's digest, for a voter that missed the claim.
    pub digest: RequestDigest,
    /// What became of the try.
    pub outcome: Outcome,
}

/// The state of a recorded key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// Released: the recorded try didn't run and never will.
    NotRun,
    /// Granted by this member to the recorded try.
    InProgress,
    /// A try may have run.
    Unknown,
    /// Ran, answered with this status.
    Done {
        /// The status of the answer.
        status: u16,
    },
}

/// What a member records of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The account that sent the key.
    pub account: AccountId,
    /// The request's digest.
    pub digest: RequestDigest,
    /// The try that holds the key; `None` where two tries conflict.
    pub claim: Option<ClaimId>,
    /// The time of the last change on the holder's clock; in a message, the age.
    pub time: Millis,
    /// The state.
    pub state: ClaimState,
}

/// One key's record on its way to another member; its `time` holds the record's age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: ClaimKey,
    /// Its record.
    pub record: Record,
}

/// Records that move because the membership changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferRequest {
    /// The view that the sender has adopted; it votes under no earlier one from here on.
    pub view: ViewId,
    /// The records, at most the configured batch.
    pub entries: Vec<Entry>,
    /// Set on the last batch.
    pub mark: Option<Mark>,
}

/// Says that a sender has passed on everything that the receiver needs under the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Counts the views that the sender has adopted.
    pub seq: u64,
    /// Whether the sender's own records are complete.
    pub warm: bool,
    /// How long the sender distrusts keys that it is new to (see the design note).
    pub hold: Millis,
    /// Members of earlier views that ended without a hand-over. A newcomer has never seen them, yet
    /// its records lack theirs.
    pub lost: Vec<Member>,
    /// Whether the sender leaves the fleet as planned and votes no more.
    pub leaving: bool,
}
