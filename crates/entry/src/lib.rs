//! The entry instance: from a caller's connection to a backend server and back.

mod payload;
mod refusal;

pub use payload::Payload;
pub use payload::PayloadError;
pub use payload::set_priority;
pub use refusal::Ran;
pub use refusal::Reason;
pub use refusal::Refusal;
