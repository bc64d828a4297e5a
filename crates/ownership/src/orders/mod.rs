//! Orders to engines (load a model, change the role) without a leader.
//!
//! Each engine has one owner by rendezvous hashing, but two instances may both believe that they
//! own it. [`Orders`] is designed so that this does no harm: see `docs/design/orders.md`.

mod engine;
mod message;
mod planner;
mod settings;

pub use message::EngineId;
pub use message::EngineReport;
pub use message::Fencing;
pub use message::ModelId;
pub use message::Order;
pub use message::OrderAction;
pub use message::OrderAnswer;
pub use message::OrderKind;
pub use message::RoleId;
pub use message::Target;
pub use planner::Orders;
pub use settings::OrderSettings;
