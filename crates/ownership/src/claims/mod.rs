//! At most one run for each idempotency key.
//!
//! The three members of highest rendezvous weight hold a key's record. A claimant asks all three
//! ([`ClaimRound`]); a majority of votes grants ([`Claims`] casts them). Two majorities of one group
//! share a member, which refuses the second claim; so a partition can't grant twice, and one dead or
//! frozen member costs nothing but its vote. When the membership changes, members that are new to a
//! group vote only after the others have passed on their records.

mod handover;
mod merge;
mod message;
mod readiness;
mod round;
mod settings;
mod table;
mod voter;

pub use message::ClaimId;
pub use message::ClaimKey;
pub use message::ClaimRequest;
pub use message::ClaimState;
pub use message::Entry;
pub use message::Mark;
pub use message::Outcome;
pub use message::Record;
pub use message::RequestDigest;
pub use message::SettleRequest;
pub use message::TransferRequest;
pub use message::Vote;
pub use round::ClaimRound;
pub use round::Grant;
pub use round::Refusal;
pub use round::Settlement;
pub use round::Started;
pub use round::Verdict;
pub use settings::ClaimSettings;
pub use voter::Claims;
pub use voter::Transfer;
