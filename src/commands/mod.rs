//! One module a subcommand.

pub mod burn;
pub mod check;
pub mod explain;
pub mod serve;
pub mod status;
