//! Bounded HTTP/1.1 exchanges over async-h1.
//!
//! async-h1 parses and writes the messages. This crate limits their size and duration, and detects
//! truncated answers that async-h1 would deliver as complete. Client and server share a socket
//! wrapper that reads a whole head before async-h1 parses it and never gives async-h1 bytes beyond
//! the current message.
//!
//! * [`serve_connection`] answers the requests of one caller's connection; [`Listener`] accepts a
//!   bounded number of such connections and shuts down gracefully.
//! * [`Client`] sends a request to a backend server. A [`SendError`] carries the [`Stage`] that was
//!   reached, which says whether the server may have run the request.
//! * A [`RequestTarget`] carries the target of a request byte for byte from the server to the client.
//! * [`RelayBody`] relays an answer's body as it arrives and fails if the body is truncated. An
//!   [`Observer`] receives each chunk and exactly one end.
//! * [`EventCounter`] counts server-sent events without parsing them.

mod client;
mod connection;
mod event_boundary;
mod event_size;
mod framing;
mod grammar;
mod headers;
mod keepalive;
mod overdue;
mod poll_on_wake;
mod request_target;
mod retry_after;
mod server;
mod sse;
mod stall;
mod transmit;
mod turn;

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
pub use client::accepts_connections;
pub use client::is_path_failure;
pub use client::refuses_connections;
pub use headers::keep_content_type;
pub use headers::relay_headers;
pub use request_target::MalformedTarget;
pub use request_target::RequestTarget;
pub use request_target::request_path;
pub use retry_after::parse_retry_after;
pub use retry_after::retry_after;
pub use server::AnswerMemory;
pub use server::AnswerTimeout;
pub use server::BodyError;
pub use server::ConnectionSummary;
pub use server::EndedWaits;
pub use server::Hangup;
pub use server::Listener;
pub use server::ListenerHandle;
pub use server::ListenerLimits;
pub use server::OverloadPolicy;
pub use server::RefusalFn;
pub use server::ReservedBody;
pub use server::ServerError;
pub use server::ServerLimits;
pub use server::StopSignal;
pub use server::WaitLimits;
pub use server::read_body;
pub use server::read_reserved_body;
pub use server::reserve_memory;
pub use server::serve_connection;
pub use server::serve_until;
pub use sse::EventCounter;
pub use sse::is_event_stream;
