//! Orders to engines.

use serde::Deserialize;
use serde::Serialize;

use crate::wire::load::EngineRole;

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number: engines that check refuse one that is lower than they have seen.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum OrderKind {
    /// Load a model.
    Load {
        /// The model.
        model: String,
    },
    /// Drop a model.
    Unload {
        /// The model.
        model: String,
    },
    /// Change the role.
    Role {
        /// The role to take.
        role: EngineRole,
    },
}

/// Body of the `409` to an order with an older fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRefusal {
    /// The number that the engine has seen.
    pub fence: u64,
}
