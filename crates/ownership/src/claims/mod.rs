//! At most one execution per idempotency key.
//!
//! The record of a key is replicated to the three members of highest rendezvous weight. A claimant
//! asks all three for their votes ([`ClaimRound`]); [`Claims`] casts them, and a majority grants
//! the claim. Any two majorities of a group share a member, which refuses the second claim: the two
//! sides of a partition can't both grant, and one dead or frozen member costs only its vote. After
//! a change of the membership, members that are new to a group vote only when the others have
//! transferred their records.

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
