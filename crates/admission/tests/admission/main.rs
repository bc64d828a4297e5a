//! Tests of the scheduler's decisions, with events and time set by the tests.

mod basics;
mod bursts;
mod fairness;
mod floors;
mod limits;
mod line;
mod pauses;
mod queue;
mod refusals;
mod sequences;
mod support;
