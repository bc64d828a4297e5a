//! Streams that callers take up again after they were cut off.
//!
//! A stream may go on only at a server of the software version that began it, as what two versions
//! write doesn't fit together. Servers don't check that, and a caller names only its own first
//! attempt, so the instances have to know which version began a stream, wherever its caller turns up.
//!
//! * The instance that relays the first answer of a stream records its origin and tells it to two
//!   others, the stream's holders. They follow from the stream's key and the live instances, so any
//!   instance can work them out ([`holders`]).
//! * The instance at which a caller takes the stream up looks at its own records and asks the holders.
//!   The version becomes a requirement of the request, like its regions: every choice of a server, by
//!   this instance, by the placer or behind a relay, keeps to it.
//! * A stream of unknown origin goes on only if a single version has served for longer than callers
//!   hold streams, which an instance in contact to the store has seen. Otherwise it is refused: it
//!   isn't run, and a guess could spoil it.
//!
//! A caller may hold a stream for longer than the timeout of its route, which bounds each of its
//! attempts only. An origin is forgotten some time after the deadline that the caller named.

mod holders;
mod message;
mod origins;
mod resolve;
mod shell;
mod span;

pub use holders::holders;
pub use message::LatestSoftware;
pub use message::OriginQuery;
pub use message::OriginReply;
pub use message::SeenSoftware;
pub use message::StreamKey;
pub use message::StreamOrigin;
pub use origins::Origins;
pub(crate) use resolve::record_origin;
pub(crate) use resolve::reply_origin;
pub(crate) use resolve::require_origin;
pub(crate) use shell::OriginService;
