//! Metrics, the status document, and burn rates of error budgets.
//!
//! The crate has three parts, which both the instances and the operator's commands use:
//!
//! * **Recording.** [`Metrics`] owns a registry (there is no global one). [`Metrics::class`]
//!   resolves the handles of a class once. The [`ClassMetrics`] that it returns is cloned into the
//!   request path, where an update is an atomic addition without a label lookup.
//!   [`Metrics::render`] writes the text format that Prometheus scrapes.
//! * **Burn rates.** Scrapes aren't stored, so every instance keeps bounded rings of attained and
//!   missed counts ([`Windows`]) and exposes their sums over fixed [`Window`]s. One scrape of each
//!   instance is then enough for [`BurnReport::from_scrapes`] to compute the burn rate of the error
//!   budget over a short and a long window.
//! * **Status.** [`status::Status`] is the document behind `GET /status`.
//!
//! Cardinality is bounded: the only label that callers influence is the account of
//! `crocushold_top_account_tokens`, which comes from a space-saving sketch and never exceeds
//! [`TOP_ACCOUNTS`] series. The series of a class are removed with the class.

mod accounts;
mod buckets;
mod burn;
mod class;
mod exposition;
mod instance;
mod metrics;
mod process;
mod record;
pub mod status;
mod table;
mod window;

pub use accounts::AccountSketch;
pub use accounts::AccountTokens;
pub use burn::BurnReport;
pub use burn::BurnRule;
pub use burn::BurnRules;
pub use burn::ClassBurn;
pub use burn::Finding;
pub use burn::PairBurn;
pub use burn::Problem;
pub use burn::Scrape;
pub use burn::Severity;
pub use burn::WindowBurn;
pub use class::ClassMetrics;
pub use class::ClassSettings;
pub use class::GaugeGuard;
pub use exposition::Exposition;
pub use exposition::ExpositionError;
pub use exposition::Label;
pub use exposition::Sample;
pub use instance::InstanceInfo;
pub use metrics::Metrics;
pub use metrics::TOP_ACCOUNTS;
pub use record::RefusalReason;
pub use record::RequestEnd;
pub use record::RequestRecord;
pub use record::Verdict;
pub use record::WasteCause;
pub use window::Counts;
pub use window::Window;
pub use window::WindowError;
pub use window::Windows;
