//! An account's rate and concurrency over all instances.
//!
//! Half of each limit is split evenly; the other half is lent by the account's owner on demand, in
//! loans that expire. See `docs/design/shared-limits.md` for the bounds.

mod account;
mod ledger;
mod message;
mod pool;

pub use ledger::Limits;
pub use message::AccountId;
pub use message::Admission;
pub use message::Borrow;
pub use message::BorrowReply;
pub use message::BorrowRequest;
pub use message::Limit;
pub use message::LimitSettings;
pub use message::ReturnRequest;
