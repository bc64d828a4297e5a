//! The commands of the `crocushold` program.
//!
//! Each module parses the arguments of one command and runs it; the work is done by the crates in
//! `crates/`.

pub mod commands;
