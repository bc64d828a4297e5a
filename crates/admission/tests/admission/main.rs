//! Tests of the scheduler's decisions, driven by events and a time that the tests set.

mod basics;
mod support;
