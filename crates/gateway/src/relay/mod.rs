//! Relaying of requests through another instance.
//!
//! An instance that reaches no server for a request which it has accepted passes it on to an
//! instance that does. The caller's connection stays where it is: the load balancer doesn't move
//! open connections, and it uses instances that aren't ready if too many of a zone aren't.
//!
//! * The request travels over HTTP to the peer's internal address, with a [`RelayedRequest`] in a
//!   header: everything that this instance has decided, so that the peer doesn't decide it again
//!   under another configuration. The header counts only there; on the callers' port it has no
//!   meaning.
//! * The peer chooses the server, sends the request and retries it as one of its own: the slot at
//!   the placer, the retry budget and the evidence about servers are the peer's. It never relays a
//!   request any further.
//! * A peer that can't send it either answers so at once, and another one is asked. That is the
//!   only way in which an instance learns what a peer reaches, and it is never outdated.
//! * Each hop cancels the next one by closing its connection.

mod message;
mod peers;
mod server;

pub(crate) use message::RelayOutcome;
pub use message::RelayedRequest;
pub use peers::RelayPeer;
pub use peers::RelayPeers;
pub(crate) use server::start_relay;
