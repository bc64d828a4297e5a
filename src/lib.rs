//! The commands of the `crocushold` program.
//!
//! Each command is a thin module: its arguments, and a function that runs it and returns the exit
//! status. The work is done by the crates below `crates/`.

pub mod commands;
