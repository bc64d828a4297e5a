//! One module a subcommand, and what they share.

pub mod burn;
pub mod check;
pub mod explain;
mod print;
pub mod serve;
pub mod status;
pub mod usage;
