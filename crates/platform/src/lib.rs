//! Reads and watches of what the platform publishes.
//!
//! The platform is read-only and limits the rate of calls over all readers together. It can be
//! down, hang, or return stale data. This crate makes the calls:
//!
//! * [`wire`] defines the documents.
//! * [`InstancePoller`] polls the instance list. It is a state machine ([`Machine`]) that takes an
//!   [`Event`] and the current time and returns [`Action`]s. It does no I/O and reads no clock.
//! * [`run`] executes the actions through a [`Fetch`]. [`HttpFetch`] implements it over HTTP.
//! * [`read`] makes one [`Call`] with a deadline. The configuration is read this way: the crate
//!   that also replicates it between instances decides when to read it and which answers to accept.
//!
//! The poller guarantees the following whatever the platform does: it makes at most one call per
//! period; every call has a deadline; retries back off with jitter and honour `Retry-After`; a list
//! older than an earlier one is reported and never applied; after a late wake-up the list counts as
//! unconfirmed until it has been read again.

mod backoff;
mod call;
mod fetch;
mod health;
mod pending;
mod poller;
mod report;
mod shell;
mod target;
mod transport;
pub mod wire;

pub use backoff::Backoff;
pub use backoff::BackoffSettings;
pub use backoff::Jitter;
pub use call::Action;
pub use call::Answer;
pub use call::Call;
pub use call::CallId;
pub use call::Event;
pub use call::Failure;
pub use call::Machine;
pub use call::Update;
pub use fetch::Document;
pub use fetch::Fetch;
pub use fetch::FetchError;
pub use fetch::Get;
pub use fetch::Header;
pub use fetch::Reply;
pub use fetch::fetch;
pub use fetch::fetch_all;
pub use poller::InstancePoller;
pub use poller::PollerSettings;
pub use report::Report;
pub use shell::Shell;
pub use shell::read;
pub use shell::run;
pub use target::Target;
pub use transport::HttpFetch;
pub use transport::Incoming;
