//! The limits of client accounts over all instances and services.
//!
//! `Limits` of `crocushold-ownership` decides what this instance may admit; [`Gate`] maps an account
//! to its three limits and settles tokens, [`AccountLimits`] drives it and carries its loans.

mod account;
mod limiter;
mod permit;
mod shared;
#[cfg(test)]
mod tests;

pub(crate) use account::LimitExceeded;
pub(crate) use account::LimitKind;
pub(crate) use account::TokenEstimate;
pub(crate) use permit::Permit;
pub(crate) use shared::AccountLimits;
