//! Rate and concurrency limits of an account across all instances.
//!
//! Half of each limit is split evenly; the account's owner lends the other half on demand, in loans
//! that expire. What the owner can't lend of a rate is asked of the others, which lend what their callers
//! don't use of their shares. See `docs/design/shared-limits.md` for the bounds.

mod account;
mod message;
mod pool;
mod state;

pub use message::AccountId;
pub use message::Admission;
pub use message::Borrow;
pub use message::BorrowReply;
pub use message::BorrowRequest;
pub use message::Limit;
pub use message::LimitSettings;
pub use message::ReturnRequest;
pub use state::Limits;
