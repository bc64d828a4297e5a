//! One instance chooses the engines for the requests of all.
//!
//! The load it answers: a rush that each instance of a large fleet sees a hundredth of. A queue at an engine
//! turns over in 200 ms; what instances tell each other of it is as old, and meanwhile all of them send to the
//! engines that were idle. Instances that ask one of them, the placer, share what it knows: every request as
//! it is placed, every answer as it begins, who holds which part of a prompt, which engine fails.
//!
//! Only the question travels, two datagrams there and back; a request never passes through another instance.
//! Nobody is set aside to place: it is the collector that the others agree on, see [`crate::sharing`]. And
//! nothing depends on it. An instance that gets no answer within [`ASK_TIMEOUT`] chooses by itself, as it does
//! when it knows no placer; two placers that don't know of each other place worse, not wrong. The one that
//! sends a request checks the choice against what it knows itself: a server that it knows to be leaving, out
//! or of another service gets nothing.

mod client;
mod message;
mod placer;
mod runtime;

pub use client::PlacementClient;
pub use client::PlacementId;
pub use message::Packet;
pub use message::Placement;
pub use message::PlacementReply;
pub use message::PlacementRequest;
pub use message::PlacementVerdict;
pub use message::RequestEnd;
pub use message::RequestUpdate;
pub use message::UpdateKind;
pub use placer::Placer;
pub(crate) use runtime::NoAdvice;
pub(crate) use runtime::Placing;
pub(crate) use runtime::Question;
