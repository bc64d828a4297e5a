//! Parses the shared configuration and the local settings of an instance.
//!
//! Each team writes its own part of the shared configuration. [`ConfigText`] splits the text into
//! parts, parses each part independently and decides from the part alone whether it is accepted.
//! [`Catalog`] holds everything that the accepted parts declare, and [`resolve`] determines the
//! account, class and service of a request. [`Settings`] are local to an instance: its addresses,
//! availability zone and limits.

mod apply;
mod catalog;
mod changes;
mod check;
mod decl;
mod digest;
mod explain;
mod fields;
mod finding;
mod graph;
mod line_index;
mod link;
mod model;
mod part;
mod read;
mod resolve;
mod settings;
mod source;
mod targets;
mod text;
mod units;

pub use catalog::Catalog;
pub use changes::Changes;
pub use changes::Diff;
pub use digest::Credential;
pub use digest::KeyDigest;
pub use explain::Candidate;
pub use explain::ClassReason;
pub use explain::Explanation;
pub use explain::explain;
pub use finding::Finding;
pub use finding::Severity;
pub use model::Account;
pub use model::CallPattern;
pub use model::Class;
pub use model::Limits;
pub use model::Model;
pub use model::Priority;
pub use model::Resolved;
pub use model::Role;
pub use model::Server;
pub use model::Service;
pub use model::ServiceKind;
pub use model::Share;
pub use model::Targets;
pub use part::InForce;
pub use part::MAX_PART;
pub use part::Part;
pub use part::with_previous;
pub use resolve::Refusal;
pub use resolve::Target;
pub use resolve::resolve;
pub use resolve::resolve_account;
pub use settings::CONNECTION_BYTES;
pub use settings::CallerLimits;
pub use settings::Secret;
pub use settings::Settings;
pub use text::ConfigText;
