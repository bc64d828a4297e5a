//! Which backend server a request goes to, and whether a failed attempt may be repeated.
//!
//! Everything here is a pure state machine: no I/O, no clock, seeded randomness. The daemon feeds
//! events and the time in and acts on what comes out; tests do the same.
//!
//! * [`Router`] chooses a server. One router serves one service on one entry instance; the routers
//!   of different instances don't talk. It knows the servers from [`Router::configure`], who is
//!   leaving from [`Router::instance_list`], and how each fares from the events of its own attempts.
//!   Load reports and cache events are lagged hints that shift a choice and never forbid one.
//! * [`RetryPolicy`] decides whether a failed attempt may be repeated, from its [`Stage`], within a
//!   budget. [`Attempt`] and [`Permit`] carry the same rule in types: the right to send a request is
//!   consumed by the first byte written.
//! * [`Quarantine`] holds requests back under which servers end.
//! * [`subset()`] assigns each entry instance a share of a large group of servers, without messages.
//!   [`ServerSubset`] keeps that share for one service, and widens it while it can't serve.
//!
//! # Driving a router
//!
//! Call [`Router::tick`] about once a second even when idle, and every event of an attempt in the
//! order it happens: [`Router::pick`], [`Router::connected`], [`Router::first_byte`],
//! [`Router::progress`], and once [`Router::done`]. After `done`, or for a server that was removed,
//! a late event finds nothing and changes nothing.
//!
//! Where there is an instance list, read it about once a second and report the end of every read:
//! [`Router::instance_list`] or [`Router::list_unavailable`]. A read needs a timeout well below
//! [`Settings::list_lease`]; a longer silence looks like a process that was stopped, and picks are
//! refused. Configure a server before handing in the list that names it first.

mod cache;
mod delay;
mod health;
mod lanes;
mod list;
mod peers;
mod pool;
mod quarantine;
mod reach;
mod region;
mod retry;
mod ring;
mod router;
mod server;
mod settings;
mod slow_start;
mod stats;
mod subset;

pub use cache::CacheChange;
pub use cache::CacheEvent;
pub use health::Fault;
pub use lanes::LANES;
pub use lanes::Lane;
pub use lanes::LaneSettings;
pub use lanes::LaneStats;
pub use lanes::Lanes;
pub use list::ListSnapshot;
pub use list::ListVerdict;
pub use list::Listed;
pub use list::Presence;
pub use quarantine::Fingerprint;
pub use quarantine::Incarnation;
pub use quarantine::Quarantine;
pub use quarantine::QuarantineRefusal;
pub use quarantine::QuarantineSettings;
pub use quarantine::Quarantined;
pub use quarantine::ReportedEnd;
pub use quarantine::Run;
pub use quarantine::Suspicion;
pub use reach::EntryFleet;
pub use reach::ServerSubset;
pub use reach::Shortage;
pub use region::RegionKey;
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
pub use settings::HealthSettings;
pub use settings::Settings;
pub use subset::coverage;
pub use subset::subset;
