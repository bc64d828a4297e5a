//! Settings, results and messages of shared limits.

use crocushold_base::Millis;
use twox_hash::XxHash3_64;

use crate::view::Member;

/// A client account, as a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountId(pub u64);

impl AccountId {
    /// The id of the account called `name`.
    pub fn from_name(name: &str) -> AccountId {
        AccountId(XxHash3_64::oneshot(name.as_bytes()))
    }
}

/// The limits of an account across all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units (requests or tokens) per second.
    pub rate: f64,
    /// Concurrent requests.
    pub slots: u32,
}

/// Settings of shared limits. They must be identical on all members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// The fraction of a limit that is split evenly between the instances and needs no messages;
    /// the rest is lent.
    pub base_fraction: f64,
    /// How many seconds' worth of a rate can be accumulated.
    pub burst_seconds: f64,
    /// The term of a loan on the lender's clock. The borrower uses only four fifths of it, so that
    /// a loan is never used after it has been lent to another member.
    pub loan_ttl: Millis,
    /// The minimum time between two borrow requests of one instance for one account.
    pub borrow_interval: Millis,
    /// The maximum number of borrow requests per second that one instance sends, over all accounts.
    pub max_borrows_per_second: u32,
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings {
            base_fraction: 0.5,
            burst_seconds: 1.0,
            loan_ttl: Millis::from_secs(2),
            borrow_interval: Millis(250),
            max_borrows_per_second: 16,
        }
    }
}

impl LimitSettings {
    /// How long the borrower may use a loan.
    pub(super) fn borrower_ttl(&self) -> Millis {
        Millis(self.loan_ttl.0 * 4 / 5)
    }
}

/// The result of an admission check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Within the limits. The slot is held until it is released.
    Admitted,
    /// Above the limits that are available on this instance.
    Limited {
        /// When to retry.
        retry_after: Millis,
    },
}

/// Requests a loan from the owner of an account, or units from another instance's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BorrowRequest {
    /// The account.
    pub account: AccountId,
    /// Requested units.
    pub units: f64,
    /// Requested slots in total, including those already lent: a request renews the loan.
    pub slots: u32,
    /// Borrowed slots in use, which a new owner must count.
    pub held: u32,
}

/// The lender's reply.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BorrowReply {
    /// Units lent.
    pub units: f64,
    /// Slots lent in total.
    pub slots: u32,
}

/// Returns borrowed slots before the end of the loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnRequest {
    /// The account.
    pub account: AccountId,
    /// Slots that the borrower keeps.
    pub kept: u32,
}

/// A borrow request for the embedder to send; `to` may be this instance itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Borrow {
    /// The lender.
    pub to: Member,
    /// The message.
    pub request: BorrowRequest,
}
