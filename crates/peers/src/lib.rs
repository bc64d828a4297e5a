//! How instances find each other and spread the configuration between them.

mod auth;
mod coordination;
mod identity;
mod member;
mod message;
mod node;
mod shell;
mod spread;
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
pub use coordination::Refuse;
pub use coordination::Request;
pub use coordination::Response;
pub use identity::Incarnation;
pub use identity::Instance;
pub use identity::InstanceId;
pub use member::Life;
pub use member::Listed;
pub use member::Member;
pub use member::MemberAction;
pub use member::MemberFinding;
pub use member::MemberSettings;
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
pub use wire::NEWEST_VERSION;
pub use wire::OLDEST_VERSION;
pub use wire::decode;
pub use wire::encode;
pub use wire::encoded_bytes;
