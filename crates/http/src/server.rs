//! The HTTP server for callers.

mod body;
mod body_length;
mod hangup;
mod limits;
mod listener;
mod long_head;
mod overload;
mod receive;
mod refusal;
mod serve;
mod stop;
mod waits;

pub use body::BodyError;
pub use body::ReservedBody;
pub use body::read_body;
pub use body::read_reserved_body;
pub use body::reserve_memory;
pub use hangup::Hangup;
pub use limits::AnswerMemory;
pub use limits::AnswerTimeout;
pub use limits::ListenerLimits;
pub use limits::OverloadPolicy;
pub use limits::RefusalFn;
pub use limits::ServerLimits;
pub use limits::WaitLimits;
pub use listener::Listener;
pub use listener::ListenerHandle;
pub use serve::ConnectionSummary;
pub use serve::ServerError;
pub use serve::serve_connection;
pub use serve::serve_until;
pub use stop::StopSignal;
pub use waits::EndedWaits;
pub(crate) use waits::WaitGuard;
