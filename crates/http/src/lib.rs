//! Bounded HTTP/1.1 exchanges over async-h1.
//!
//! async-h1 parses and writes the messages; this crate bounds them in size and time, and closes the
//! gaps through which an answer could look whole without being so. The two sides share one socket
//! wrapper, which reads a head on its own before async-h1 sees it and hands out no byte beyond the
//! message at hand.
//!
//! * [`serve_connection`] answers the requests of one caller's connection; [`Listener`] accepts a
//!   bounded number of such connections and stops gracefully.
//! * [`Client`] sends a request to a backend server. A [`SendError`] carries the [`Stage`] that was
//!   reached, which tells whether the request can have run.
//! * [`RelayBody`] passes an answer's body on as it arrives and fails where the body ends short. An
//!   [`Observer`] sees each chunk and exactly one end.
//! * [`EventCounter`] counts server-sent events without parsing them.

mod client;
mod framing;
mod headers;
mod server;
mod sse;
mod stall;
mod transmit;
mod watch;
mod wire;

pub use client::Answer;
pub use client::AnswerEnd;
pub use client::Cancel;
pub use client::Client;
pub use client::CutCause;
pub use client::Observer;
pub use client::PoolLimits;
pub use client::RelayBody;
pub use client::Reuse;
pub use client::SendError;
pub use client::SendErrorKind;
pub use client::SendLimits;
pub use client::Stage;
pub use client::refuses_connections;
pub use headers::relay_headers;
pub use server::BodyError;
pub use server::ConnectionSummary;
pub use server::Hangup;
pub use server::Listener;
pub use server::ListenerHandle;
pub use server::ListenerLimits;
pub use server::RefusalFn;
pub use server::ServerError;
pub use server::ServerLimits;
pub use server::StopSignal;
pub use server::read_body;
pub use server::serve_connection;
pub use server::serve_until;
pub use sse::EventCounter;
