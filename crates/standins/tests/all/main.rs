//! Tests of the stand-ins, over the wire where the wire matters.

// The exemption for tests that clippy.toml grants doesn't reach helpers and async tests.
#![allow(clippy::unwrap_used)]

mod batch;
mod commands;
mod engine;
mod load;
mod platform;
mod process;
mod service;
mod wire;
