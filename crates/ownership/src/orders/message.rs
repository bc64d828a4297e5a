//! Inputs and actions of the order state machine.

use crocushold_base::Millis;
use twox_hash::XxHash3_64;

/// An engine, as a hash of its name in the platform's instance list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u64);

impl EngineId {
    /// The id of the engine called `name`.
    pub fn from_name(name: &str) -> EngineId {
        EngineId(XxHash3_64::oneshot(name.as_bytes()))
    }
}

/// A model, an adapter or a version of one, as an index into the caller's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelId(pub u32);

/// A role of an engine, as an index into the caller's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoleId(pub u8);

/// Whether an engine compares the fencing token of an order with the last one that it accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses lower tokens.
    Checked,
    /// It accepts every order.
    Ignored,
}

/// The desired state of an engine according to the published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The engine.
    pub engine: EngineId,
    /// The revision of the configuration.
    pub revision: u64,
    /// Whether the engine checks fencing tokens.
    pub fencing: Fencing,
    /// The models to be loaded, in ascending order.
    pub models: Vec<ModelId>,
    /// The role to be set; `None` leaves it to the engine.
    pub role: Option<RoleId>,
}

/// The state of an engine as reported by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The engine.
    pub engine: EngineId,
    /// The loaded models.
    pub models: Vec<ModelId>,
    /// The current role.
    pub role: RoleId,
    /// The highest fencing token that the engine accepted; 0 if it keeps none.
    pub fence: u64,
    /// When the report was requested, on this instance's clock.
    pub asked_at: Millis,
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model. Idempotent: loading the same model again changes nothing.
    Load(ModelId),
    /// Unload a model. Destructive.
    Unload(ModelId),
    /// Set a role. Destructive: it ends the former role. Setting the current role changes nothing.
    Role(RoleId),
}

impl OrderKind {
    /// Whether executing it on outdated knowledge could remove what another instance wants.
    pub fn is_destructive(self) -> bool {
        !matches!(self, OrderKind::Load(_))
    }
}

/// An order to be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub engine: EngineId,
    /// The fencing token: the revision of the configuration that the order implements.
    pub fence: u64,
    /// What the order does.
    pub kind: OrderKind,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Accepted and executed.
    Obeyed,
    /// Refused (409): the engine has accepted a higher fencing token.
    Fenced {
        /// The higher token.
        fence: u64,
    },
    /// No answer, or an error. The order may have been executed.
    Failed,
}

/// What the caller must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Send an order.
    Send(Order),
    /// Read the engine's `/load` and report the result.
    ReadBack(EngineId),
    /// Inform the operator: the engine accepted a revision that this instance doesn't have. No
    /// orders are sent to it until the configuration has caught up.
    Outdated {
        /// The engine.
        engine: EngineId,
        /// The engine's fencing token.
        fence: u64,
    },
}
