//! Coordination between entry instances without shared state, a leader or consensus.
//!
//! Everything here is a pure state machine: events and the current time go in, votes and actions
//! come out. The embedder transports the messages and supplies the membership.
//!
//! * [`View`] ranks the members for each key by rendezvous hashing.
//! * [`Claims`] and [`ClaimRound`] execute a request with an idempotency key at most once.
//! * [`Orders`] decides which orders to send to the engines that this instance owns.
//! * [`Limits`] enforces the rate and concurrency limits of accounts across all instances.
//! * [`LoadPlanner`] limits the rate of model loads from the weight store, highest class first.
//! * [`PauseDetector`] detects that this process was paused.

mod claims;
mod limits;
mod orders;
mod pause;
mod view;
mod weights;

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
pub use limits::AccountId;
pub use limits::Admission;
pub use limits::Borrow;
pub use limits::BorrowReply;
pub use limits::BorrowRequest;
pub use limits::Limit;
pub use limits::LimitSettings;
pub use limits::Limits;
pub use limits::ReturnRequest;
pub use orders::EngineId;
pub use orders::EngineReport;
pub use orders::Fencing;
pub use orders::ModelId;
pub use orders::Order;
pub use orders::OrderAction;
pub use orders::OrderAnswer;
pub use orders::OrderKind;
pub use orders::OrderSettings;
pub use orders::Orders;
pub use orders::RoleId;
pub use orders::Target;
pub use pause::PauseDetector;
pub use view::GROUP_SIZE;
pub use view::Group;
pub use view::GroupId;
pub use view::InstanceId;
pub use view::Member;
pub use view::View;
pub use view::ViewId;
pub use weights::LoadPermit;
pub use weights::LoadPlanner;
pub use weights::LoadRequest;
pub use weights::WeightSettings;
