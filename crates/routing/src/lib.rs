//! Chooses the backend server for a request and decides whether a failed attempt may be retried.
//!
//! Everything here is a pure state machine: no I/O, no clock, seeded randomness. The caller passes
//! in events and the time and acts on the results; tests do the same.
//!
//! * [`Router`] chooses a server. One router serves one service on one entry instance; the routers
//!   of different instances don't communicate. It learns the servers from [`Router::configure`],
//!   which of them are leaving from [`Router::instance_list`], and their health from the events of
//!   its own attempts. Load reports and cache events are lagged hints that influence a choice and
//!   never forbid one.
//! * [`RetryPolicy`] decides from the [`Stage`] of a failed attempt whether it may be retried,
//!   within a budget. [`Attempt`] and [`Permit`] express the same rule in types: the right to send
//!   a request is consumed by the first byte written.
//! * [`Quarantine`] blocks requests that end the processes of the servers that run them.
//! * [`Reachability`] tells a server that fails from a network path that is lost.
//! * [`subset()`] assigns each entry instance a share of a large group of servers, without
//!   communication. [`ServerSubset`] keeps that share for one service and widens it while the
//!   assigned servers can't serve.
//!
//! # Driving a router
//!
//! Call [`Router::tick`] about once a second even when idle, and report every event of an attempt
//! in order: [`Router::pick`], [`Router::connected`], [`Router::first_byte`], [`Router::progress`],
//! and once [`Router::done`]. Events after `done`, or for a removed server, have no effect.
//!
//! Where there is an instance list, read it about once a second and report the end of every read
//! with [`Router::instance_list`] or [`Router::list_unavailable`]. A read needs a timeout well
//! below [`Settings::list_lease`]; a longer gap looks like a suspended process, and picks are
//! refused. Configure a server before passing in the first list that names it.

mod answer_times;
mod brittle;
mod cache;
mod health;
mod lanes;
mod list;
mod live_streams;
mod pace;
mod pool;
mod quarantine;
mod queue_delay;
mod reachability;
mod region;
mod rest;
mod retry;
mod ring;
mod router;
mod server;
mod server_speed;
mod server_subset;
mod settings;
mod software;
mod stats;
mod subset;

pub use brittle::Brittleness;
pub use cache::CacheChange;
pub use cache::CacheEvent;
pub use health::Fault;
pub use lanes::DelayForecast;
pub use lanes::LANES;
pub use lanes::Lane;
pub use lanes::LaneSettings;
pub use lanes::LaneStats;
pub use lanes::Lanes;
pub use list::ListSnapshot;
pub use list::ListVerdict;
pub use list::Listed;
pub use list::Presence;
pub use live_streams::STEP_MS;
pub use pace::MIN_PACED_RATE;
pub use quarantine::Fingerprint;
pub use quarantine::Incarnation;
pub use quarantine::Passage;
pub use quarantine::Quarantine;
pub use quarantine::QuarantineRefusal;
pub use quarantine::QuarantineSettings;
pub use quarantine::Quarantined;
pub use quarantine::ReportedEnd;
pub use quarantine::RequestContent;
pub use quarantine::Run;
pub use quarantine::SURVIVAL;
pub use quarantine::ServedContent;
pub use quarantine::SettlementWait;
pub use quarantine::SuspectKind;
pub use quarantine::Suspicion;
pub use reachability::Reach;
pub use reachability::ReachChange;
pub use reachability::ReachEvidence;
pub use reachability::ReachFailure;
pub use reachability::Reachability;
pub use region::RegionKey;
pub use rest::Rest;
pub use rest::Rests;
pub use retry::Attempt;
pub use retry::Budget;
pub use retry::BudgetSettings;
pub use retry::Decision;
pub use retry::Permit;
pub use retry::Ran;
pub use retry::RequestFacts;
pub use retry::RetryPolicy;
pub use retry::RetrySettings;
pub use retry::Sent;
pub use retry::Stage;
pub use retry::Unsent;
pub use router::AttemptKey;
pub use router::Demand;
pub use router::EngineCapacity;
pub use router::NoServer;
pub use router::Outcome;
pub use router::Pick;
pub use router::Placement;
pub use router::Reason;
pub use router::Router;
pub use router::Spill;
pub use server::Allotment;
pub use server::LoadReport;
pub use server::ServerSpec;
pub use server::Share;
pub use server::Standing;
pub use server::State;
pub use server_speed::UsualPace;
pub use server_subset::EntryFleet;
pub use server_subset::ServerSubset;
pub use server_subset::Shortage;
pub use settings::HealthSettings;
pub use settings::Settings;
pub use software::SoftwareKey;
pub use subset::coverage;
pub use subset::subset;
