//! Integration tests: real `crocushold` processes between stand-ins, one binary of modules.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod caller_faults;
mod commands;
mod fleet;
mod limits;
mod once;
mod path;
mod platform_faults;
mod process_faults;
mod server_faults;
#[allow(unreachable_pub, reason = "a binary of tests has no interface")]
mod support;
