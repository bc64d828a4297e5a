//! A gateway that routes requests to the backend servers listed in a registry.
//!
//! The entry instances of `crocushold-entry` read their configuration from the teams' texts and
//! agree on it among themselves. A gateway instead follows a single read-only store that publishes
//! the routes, the client accounts and the backend servers. Gateways don't depend on each other.
//!
//! * [`Gateway`] runs an instance: its listeners, the reads of the store, and its graceful
//!   shutdown.
//! * A [`Source`] reads the store, and a [`Protocol`] reads and writes the headers of a deployment.
//! * [`RouteTable`] is a configuration, indexed for lookups.
//! * [`Directory`] and [`Fleet`] are pure state machines: the set of listed servers, and the choice
//!   of a server for each request.

mod callers;
mod check;
mod cold_check;
mod directory;
mod era;
mod exchange;
mod fleet;
mod follow;
mod instance;
mod intake;
mod lag;
mod latencies;
mod log_fields;
mod metrics;
mod placing;
mod protocol;
mod quarantine;
mod reach;
mod record;
mod refusal;
mod relay;
mod resumption;
mod routes;
mod settle;
mod shared;
mod sharing;
mod source;
mod store_times;
mod store_watch;
mod trace;
mod verdict;
mod wait_predictions;

pub use check::findings;
pub use directory::Directory;
pub use directory::RETURN_GRACE;
pub use directory::Removal;
pub use era::EVACUATION_GRACE;
pub use era::EntryVersion;
pub use era::EraGuard;
pub use era::Revision;
pub use fleet::BrittleService;
pub use fleet::Choice;
pub use fleet::ColdPhase;
pub use fleet::ColdQuery;
pub use fleet::ColdReview;
pub use fleet::Ejection;
pub use fleet::Fleet;
pub use fleet::FleetSettings;
pub use fleet::LaneAllocation;
pub use fleet::ListOutcome;
pub use fleet::Need;
pub use fleet::NoticeChange;
pub use fleet::ProbeTarget;
pub use fleet::ServerDeparture;
pub use fleet::ServerLimit;
pub use fleet::ServerReach;
pub use instance::Gateway;
pub use instance::Settings;
pub use instance::StartError;
pub use lag::Lag;
pub use latencies::ClassInterval;
pub use latencies::latencies;
pub use placing::Packet;
pub use placing::Placement;
pub use placing::PlacementClient;
pub use placing::PlacementId;
pub use placing::PlacementReply;
pub use placing::PlacementRequest;
pub use placing::PlacementVerdict;
pub use placing::Placer;
pub use placing::RequestEnd;
pub use placing::RequestUpdate;
pub use placing::UpdateKind;
pub use protocol::AnswerMeta;
pub use protocol::Executed;
pub use protocol::Forward;
pub use protocol::HealthMeta;
pub use protocol::Notice;
pub use protocol::PromptPart;
pub use protocol::Protocol;
pub use protocol::RequestMeta;
pub use protocol::Resumption;
pub use refusal::Reason;
pub use refusal::Refusal;
pub use relay::RelayPeer;
pub use relay::RelayPeers;
pub use relay::RelayedRequest;
pub use resumption::OriginQuery;
pub use resumption::OriginReply;
pub use resumption::Origins;
pub use resumption::SeenSoftware;
pub use resumption::SoftwareVersions;
pub use resumption::StreamKey;
pub use resumption::StreamOrigin;
pub use resumption::holders;
pub use routes::Account;
pub use routes::CallerLimits;
pub use routes::EngineSpec;
pub use routes::Heartbeat;
pub use routes::Presence;
pub use routes::Repeat;
pub use routes::Route;
pub use routes::RouteTable;
pub use routes::ServerRecord;
pub use routes::Share;
pub use routes::SlowStart;
pub use routes::TableSpec;
pub use sharing::CachedPrefix;
pub use sharing::Content;
pub use sharing::EngineQueue;
pub use sharing::Gossip;
pub use sharing::Identity;
pub use sharing::Load;
pub use sharing::LoadSum;
pub use sharing::MemberEntry;
pub use sharing::Members;
pub use sharing::Message;
pub use sharing::Part;
pub use sharing::ServiceWork;
pub use sharing::contact_answer;
pub use sharing::contact_query;
pub use sharing::suspicion_packets;
pub use source::Change;
pub use source::Changes;
pub use source::Entry;
pub use source::IncomingAnswer;
pub use source::Listing;
pub use source::Source;
pub use source::SourceError;
pub use source::WatchTimes;
pub use trace::trace;
pub use wait_predictions::Chooser;
pub use wait_predictions::WaitBucket;
pub use wait_predictions::WaitPrediction;
pub use wait_predictions::wait_predictions;
