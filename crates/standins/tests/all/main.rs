//! Integration tests of the stand-ins.

// The exemption for tests in clippy.toml doesn't cover helper functions and async tests.
#![allow(clippy::unwrap_used)]

mod batch;
mod commands;
mod engine;
mod load;
mod platform;
mod process;
mod service;
mod wire;
