//! The side that callers speak to.

mod body;
mod connection;
mod exact;
mod hangup;
mod limits;
mod listener;
mod receive;
mod refusal;
mod shorten;
mod stop;

pub use body::BodyError;
pub use body::read_body;
pub use connection::ConnectionSummary;
pub use connection::ServerError;
pub use connection::serve_connection;
pub use connection::serve_until;
pub use hangup::Hangup;
pub use limits::ListenerLimits;
pub use limits::RefusalFn;
pub use limits::ServerLimits;
pub use listener::Listener;
pub use listener::ListenerHandle;
pub use stop::StopSignal;
