//! An open-loop load generator: requests are sent at their scheduled times, independently of the
//! progress of earlier requests, and each response is checked down to its last token.
//!
//! A [`LoadPlan`] lists the entry addresses and the request classes; [`run`] sends the requests and
//! returns a [`LoadReport`]; [`send_one`] sends a single request. With the address of an engine in
//! place of an entry instance's, the same plan measures the engine alone.

mod client;
mod exchange;
mod framing;
mod plan;
mod prompt;
mod record;
mod report;
mod response;
mod run;
mod run_counts;
mod single;
mod tokens;

pub use exchange::Exchange;
pub use exchange::RequestOutcome;
pub use framing::MalformedResponse;
pub use plan::Burst;
pub use plan::GiveUp;
pub use plan::Header;
pub use plan::LoadClass;
pub use plan::LoadPlan;
pub use plan::RequestKind;
pub use plan::Targets;
pub use report::ClassReport;
pub use report::LoadReport;
pub use report::Quantiles;
pub use report::Second;
pub use report::StandinTotals;
pub use response::Response;
pub use run::run;
pub use single::send_one;
