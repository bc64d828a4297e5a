//! The entry instance: from a caller's connection to a backend server and back.
//!
//! This crate is the thin shell around the decisions. It owns the sockets, the clock and the tasks,
//! and feeds events to the state machines of `crocushold-admission` and `crocushold-routing`.
//!
//! * [`Instance`] runs one entry instance: the callers' listener, the operator's listener, and the
//!   reads of what the platform publishes.
//! * A `World` is the configuration in force with the pools and metrics that belong to it.
//! * A `Pool` joins the scheduler and the router of one service under one lock.
//! * A request is decoded and classified (`intake`), waits in its pool, is sent (`exchange`), and its
//!   answer is watched on its way to the caller (`settle`).

mod active_config;
mod apply;
mod callers;
mod connections;
mod coordination;
mod decode;
mod exchange;
mod failpoint;
mod instance;
mod memory;
mod operator;
mod payload;
mod platform_reads;
mod polling;
mod pool;
mod refusal;
mod response_observer;
mod sent_attempt;
mod shared;

pub use instance::Instance;
pub use instance::InstanceHandle;
pub use instance::StartError;
pub use payload::Payload;
pub use payload::PayloadError;
pub use payload::set_priority;
pub use refusal::Ran;
pub use refusal::Reason;
pub use refusal::Refusal;
