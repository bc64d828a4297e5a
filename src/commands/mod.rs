//! One module a subcommand.

pub mod check;
pub mod explain;
pub mod serve;
