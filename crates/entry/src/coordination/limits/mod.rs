//! The limits of client accounts, which apply across all instances and services.
//!
//! `Limits` of `crocushold-ownership` decides how much this instance may admit. `Limiter` maps an
//! account to its three limits and settles tokens. [`AccountLimits`] drives it and handles its
//! loans.

mod account;
mod limiter;
mod permit;
mod shell;
#[cfg(test)]
mod tests;

pub(crate) use account::LimitExceeded;
pub(crate) use account::LimitKind;
pub(crate) use account::TokenEstimate;
pub(crate) use permit::Permit;
pub(crate) use shell::AccountLimits;
