//! The entry instance: from a caller's connection to a backend server and back.
//!
//! This crate does the I/O. It owns the sockets, the clock and the tasks, and passes events to the
//! state machines of `crocushold-admission`, `crocushold-routing` and `crocushold-ownership`, which
//! make the decisions.
//!
//! * [`Instance`] runs one entry instance: the listener for callers, the listener for operators,
//!   and the reads of the data that the platform publishes.
//! * An `ActiveConfig` is one version of the configuration with its pools and metrics.
//! * A `Pool` holds the scheduler and the router of one service under one lock.
//! * A request is decoded and classified (`decode`), queued in its pool, and sent (`exchange`). Its
//!   response is observed while it is relayed to the caller (`response_observer`).

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
mod polling;
mod pool;
mod publish;
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
