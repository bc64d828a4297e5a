//! Settings, answers and messages of shared limits.

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

/// What an account may use over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units (requests or tokens) a second.
    pub rate: f64,
    /// Requests at the same time.
    pub slots: u32,
}

/// Settings of shared limits. They must be the same on all members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// The part of a limit that is split evenly and needs no message; the rest is lent.
    pub base_fraction: f64,
    /// How many seconds' worth of a rate may be saved up.
    pub burst_seconds: f64,
    /// How long a loan lasts on the lender's clock. The borrower counts four fifths of it, so that
    /// a loan is never used after the lender has lent it anew.
    pub loan_ttl: Millis,
    /// The shortest time between two requests of one instance for one account.
    pub borrow_interval: Millis,
    /// Borrow requests of one instance a second, over all accounts.
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
    /// How long the borrower uses a loan.
    pub(super) fn borrower_ttl(&self) -> Millis {
        Millis(self.loan_ttl.0 * 4 / 5)
    }
}

/// The answer to a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Within the limits. The slot is held until it is released.
    Admitted,
    /// Over the limits here and now.
    Limited {
        /// When to ask again.
        retry_after: Millis,
    },
}

/// Asks the owner of an account for a loan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BorrowRequest {
    /// The account.
    pub account: AccountId,
    /// Units wanted.
    pub units: f64,
    /// Slots wanted in all, those that are lent already included: a request renews the loan.
    pub slots: u32,
    /// Slots that are lent and in use, which a new owner must count.
    pub held: u32,
}

/// The owner's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BorrowReply {
    /// Units lent.
    pub units: f64,
    /// Slots lent in all.
    pub slots: u32,
}

/// Gives lent slots back before their term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnRequest {
    /// The account.
    pub account: AccountId,
    /// Slots that the borrower keeps.
    pub kept: u32,
}

/// A borrow request for the shell to carry; `to` may be this instance itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Borrow {
    /// The owner of the account.
    pub to: Member,
    /// The message.
    pub request: BorrowRequest,
}
