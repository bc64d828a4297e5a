//! Membership, calls between instances, and dissemination of the configuration among them, without
//! stored state, a leader or consensus.
//!
//! The protocol logic consists of pure state machines that take an event and the current time and
//! return actions:
//!
//! * [`Member`] determines which instances are alive. It implements SWIM with Lifeguard's local
//!   health score over a fixed graph of hash rings, bootstrapped from the platform's instance list,
//!   which may lag. Its result is a [`View`].
//! * [`Spread`] disseminates the configuration to all instances and never lets an instance return
//!   to an earlier revision: a few instances watch the platform, the others learn of changes by
//!   gossip and pull the differences.
//! * [`Node`] combines the two and exchanges [`Message`]s.
//!
//! [`PeerNode::start`] runs a [`Node`] on a dedicated thread, with capnp-rpc over TCP, mutual
//! authentication by a [`SharedKey`], deadlines and circuit breakers. The rest of the process holds
//! a [`PeerHandle`], which offers the view, the configuration in force, notices of changes, and
//! [`PeerHandle::call`] for the coordination calls that a [`Handler`] answers. The embedder reads
//! the platform when a [`PlatformRequest`] asks for it, and passes the result to the handle.
//!
//! The example `embed` shows all of this in one process. The guarantees and their limits are
//! described in `docs/design/membership.md` and `docs/design/configuration-spread.md`.

mod auth;
mod coordination;
mod identity;
mod member;
mod message;
mod node;
mod shell;
mod spread;
mod sync_status;
mod wire;

#[allow(
    clippy::all,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::uninlined_format_args,
    clippy::unwrap_used,
    dead_code,
    missing_docs,
    unreachable_pub
)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use auth::Proof;
pub use auth::Role;
pub use auth::SharedKey;
pub use auth::Transcript;
pub use auth::hmac_sha256;
pub use coordination::Handler;
pub use coordination::RefuseAll;
pub use coordination::Request;
pub use coordination::Response;
pub use identity::Incarnation;
pub use identity::Instance;
pub use identity::InstanceId;
pub use member::ListedInstance;
pub use member::Member;
pub use member::MemberAction;
pub use member::MemberFinding;
pub use member::MemberSettings;
pub use member::MemberState;
pub use member::RINGS;
pub use member::View;
pub use message::BUCKETS;
pub use message::Body;
pub use message::Delta;
pub use message::Gossip;
pub use message::Message;
pub use message::PartHash;
pub use message::PartRef;
pub use message::Piece;
pub use message::Status;
pub use message::Update;
pub use node::Action;
pub use node::Event;
pub use node::Finding;
pub use node::Node;
pub use node::NodeSettings;
pub use shell::CallError;
pub use shell::Limits;
pub use shell::Notice;
pub use shell::PeerHandle;
pub use shell::PeerNode;
pub use shell::PlatformRequest;
pub use shell::Settings;
pub use shell::StartError;
pub use shell::Started;
pub use shell::Versions;
pub use spread::Conflict;
pub use spread::Index;
pub use spread::IndexEntry;
pub use spread::Part;
pub use spread::PartText;
pub use spread::PlatformRead;
pub use spread::ReadFailed;
pub use spread::Snapshot;
pub use spread::Spread;
pub use spread::SpreadAction;
pub use spread::SpreadFinding;
pub use spread::SpreadSettings;
pub use spread::part_hash;
pub use sync_status::PeerSyncStatus;
pub use sync_status::SyncStatus;
pub use wire::NEWEST_VERSION;
pub use wire::OLDEST_VERSION;
pub use wire::decode;
pub use wire::encode;
pub use wire::encoded_bytes;
