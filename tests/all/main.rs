//! Integration tests: real `crocushold` processes between stand-ins, one binary of modules.

mod commands;
mod fleet;
mod once;
mod path;
#[allow(unreachable_pub, reason = "a binary of tests has no interface")]
mod support;
