//! The limits of client accounts over all instances and services.
//!
//! `Limits` of `crocushold-ownership` decides what this instance may admit; [`Gate`] maps an account
//! to its three limits and settles tokens, [`AccountLimits`] drives it and carries its loans.

mod account;
mod gate;
mod permit;
mod shell;
#[cfg(test)]
mod tests;

pub(crate) use account::Ask;
pub(crate) use account::LimitHit;
pub(crate) use account::LimitKind;
pub(crate) use permit::Permit;
pub(crate) use shell::AccountLimits;
