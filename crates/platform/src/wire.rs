//! Documents that the platform and backend servers publish.
//!
//! Unknown fields are ignored and unknown enum values become `Other`, so that the platform can be
//! upgraded before the instances.

mod cache;
mod config;
mod instances;
mod load;
mod orders;

pub use cache::CacheEvent;
pub use cache::CacheEvents;
pub use cache::CacheKind;
pub use config::ConfigIndex;
pub use config::PartEntry;
pub use config::PartText;
pub use instances::InstanceEntry;
pub use instances::InstanceList;
pub use instances::InstanceRole;
pub use instances::InstanceState;
pub use instances::MalformedEntry;
pub use load::EngineRole;
pub use load::LoadReport;
pub use orders::Order;
pub use orders::OrderKind;
pub use orders::OrderRefusal;
