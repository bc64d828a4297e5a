//! Orders to engines.

use serde::Deserialize;
use serde::Serialize;

use crate::wire::load::EngineRole;

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token. Engines that check it reject an order with a lower token than they have seen.
    pub fence: u64,
    /// The operation.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// The operation that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum OrderKind {
    /// Load a model.
    Load {
        /// The model.
        model: String,
    },
    /// Unload a model.
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

/// Body of the `409` response to an order with an outdated fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRefusal {
    /// Highest fencing token that the engine has seen.
    pub fence: u64,
}
