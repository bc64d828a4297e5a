//! Central placement: one instance, the placer, chooses the engines for the requests of all.
//!
//! In a large fleet each instance sees only about a hundredth of a burst. The queue of an engine
//! turns over in 200 ms, and gossiped queue lengths are as old, so that all instances would send to
//! the engines that were idle a moment ago. Instances that ask the placer share its knowledge: each
//! request as it is placed, each answer as it begins, which engine caches which prompt prefix, and
//! which engine fails.
//!
//! Only the placement request and its reply are sent, in two datagrams. A caller's request passes
//! through another instance only if this one reaches no server, see [`crate::relay`]. There is no
//! dedicated placer: it is the collector that the others agree on, see [`crate::sharing`]. Nothing
//! depends on it either. An instance that gets no reply within
//! [`ASK_TIMEOUT`](shell::ASK_TIMEOUT), or that knows no placer, chooses by itself, unless the
//! servers are brittle. Two placers that don't know of each other make worse choices, but not wrong
//! ones. The instance that sends a request checks the choice against its own knowledge: a server
//! that it knows to be draining, ejected or of another service gets nothing.
//!
//! With a [waiting line](waiting), requests that no engine can begin soon wait at the placer, in one
//! order over all instances.

mod client;
mod line_wait;
mod message;
mod placer;
mod refused;
mod shell;
mod waiting;
mod wire;

pub use client::PlacementClient;
pub use client::PlacementId;
pub use line_wait::LineWait;
pub use line_wait::LineWaitStep;
pub use message::LineStanding;
pub use message::LineTerms;
pub use message::Packet;
pub use message::Placement;
pub use message::PlacementReply;
pub use message::PlacementRequest;
pub use message::PlacementVerdict;
pub use message::RequestEnd;
pub use message::RequestUpdate;
pub use message::UpdateKind;
pub use placer::Placer;
pub(crate) use shell::PlacementAnswer;
pub(crate) use shell::PlacementError;
pub(crate) use shell::PlacementQuery;
pub(crate) use shell::PlacementService;
pub use waiting::LineReport;
