//! Reads and watches of what the platform publishes.
//!
//! The platform can only be read, answers each call out of a budget that all readers share, and can
//! be down, frozen, or answer with old data. This crate makes the calls:
//!
//! * [`wire`] holds the types of the documents.
//! * [`InstancePoller`] polls the instance list. It is a state machine ([`Machine`]): an [`Event`]
//!   and the time go in, [`Action`]s come out. It opens no socket and reads no clock.
//! * [`run`] is the thin shell that carries the actions out through a [`Fetch`]; [`HttpFetch`] is the
//!   one over HTTP.
//! * [`read`] makes one [`Call`] with a deadline. The configuration is read this way: when, and what
//!   of the answers may be believed, is decided where instances also learn it from each other.
//!
//! The poller keeps these rules whatever the platform does: at most one call in a period; every call
//! has a deadline; failures back off with jitter and honour `Retry-After`; a list older than an
//! earlier one is reported and never applied; a process that woke late re-reads before its knowledge
//! counts as confirmed again.

mod call;
mod fetch;
mod health;
mod outstanding;
mod pace;
mod poller;
mod report;
mod shell;
mod transport;
pub mod wire;

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
pub use pace::Backoff;
pub use pace::BackoffSettings;
pub use pace::Jitter;
pub use poller::InstancePoller;
pub use poller::PollerSettings;
pub use report::Report;
pub use shell::Shell;
pub use shell::read;
pub use shell::run;
pub use transport::HttpFetch;
