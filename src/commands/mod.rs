//! One module a subcommand.

pub mod serve;
