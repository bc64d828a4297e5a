//! Gossip between instances: queue lengths of engines, recent work, and cached prompt prefixes.
//!
//! During a burst of long prompts each instance sees only its own requests, an eighth or an
//! eightieth of all. It learns the whole queue of an engine only with an answer from there, every
//! one or two seconds, and by then the other instances have filled it. If instances exchange their
//! queues several times a second, their sum is close to the real queue.
//!
//! Gossip is organized by availability zone. Each instance sends its load to the collector of its
//! zone. The collector sends the zone's sum to the collectors of the other zones, and the fleet's
//! sum to the instances of its own zone. Load thus reaches every instance within three steps,
//! independent of the size of the fleet. When each instance sent one message per round to some of
//! the others in turn, 80 instances heard from each other every 2.6 s, which was too late to be
//! useful.
//!
//! Nothing depends on gossip. A lost message makes a choice slightly worse, and without any
//! messages an instance goes by its own requests. Messages are datagrams. There is no dedicated
//! collector: every instance that receives loads is one. If its process is gone, another one is used
//! at once, and if it doesn't respond for another reason, after a second.

mod contact;
mod handover;
mod joining;
mod loads;
mod members;
mod message;
mod notices;
mod prefix_relay;
mod presence;
mod shell;
mod spread;
mod state;
mod suspicions;

pub use contact::contact_answer;
pub use contact::contact_query;
pub use loads::LoadSum;
pub use members::Members;
pub use message::CachedPrefix;
pub use message::Content;
pub use message::EngineQueue;
pub use message::Identity;
pub use message::Load;
pub(crate) use message::MAX_CACHED_PREFIXES;
pub use message::MemberEntry;
pub use message::Message;
pub use message::Part;
pub use message::ServiceWork;
pub(crate) use shell::start_gossip;
pub use state::Gossip;
pub use suspicions::suspicion_packets;
