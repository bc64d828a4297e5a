//! Coordination between entry instances without shared state, leader or consensus.
//!
//! Everything here is a pure state machine: events and the time go in, votes and actions come out.
//! The caller carries the messages and feeds the membership.
//!
//! * [`View`] ranks the members for each key by rendezvous hashing.
//! * [`Claims`] and [`ClaimRound`] let a request with an idempotency key run at most once.

mod claims;
mod pause;
mod view;

pub use claims::ClaimId;
pub use claims::ClaimKey;
pub use claims::ClaimRequest;
pub use claims::ClaimRound;
pub use claims::ClaimSettings;
pub use claims::ClaimState;
pub use claims::Claims;
pub use claims::Entry;
pub use claims::Grant;
pub use claims::Mark;
pub use claims::Outcome;
pub use claims::Record;
pub use claims::Refusal;
pub use claims::RequestDigest;
pub use claims::SettleRequest;
pub use claims::Settlement;
pub use claims::Started;
pub use claims::Transfer;
pub use claims::TransferRequest;
pub use claims::Verdict;
pub use claims::Vote;
pub use pause::PauseGuard;
pub use view::GROUP_SIZE;
pub use view::Group;
pub use view::GroupId;
pub use view::InstanceId;
pub use view::Member;
pub use view::View;
pub use view::ViewId;
