//! The events and actions of orders.

use crocushold_base::Millis;
use twox_hash::XxHash3_64;

/// An engine, as a hash of the name that the platform's instance list gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u64);

impl EngineId {
    /// The id of the engine called `name`.
    pub fn from_name(name: &str) -> EngineId {
        EngineId(XxHash3_64::oneshot(name.as_bytes()))
    }
}

/// A model, adapter or version, as an index into the caller's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelId(pub u32);

/// A role that an engine can play, as an index into the caller's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoleId(pub u8);

/// Whether an engine compares the fencing number of an order with the last one it obeyed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses an older number.
    Checked,
    /// It obeys whoever asks last.
    Ignored,
}

/// What the published text wants of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The engine.
    pub engine: EngineId,
    /// The revision of the configuration that says so.
    pub revision: u64,
    /// Whether the engine checks fencing numbers.
    pub fencing: Fencing,
    /// The models that it should have loaded, in ascending order.
    pub models: Vec<ModelId>,
    /// The role that it should play; none where that is left to the engine.
    pub role: Option<RoleId>,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The engine.
    pub engine: EngineId,
    /// The models that are loaded.
    pub models: Vec<ModelId>,
    /// The role in force.
    pub role: RoleId,
    /// The highest fencing number that the engine obeyed; 0 if it keeps none.
    pub fence: u64,
    /// When the reading was begun, on this instance's clock.
    pub asked_at: Millis,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model. Convergent: a second load of the same model changes nothing.
    Load(ModelId),
    /// Unload a model. Destructive.
    Unload(ModelId),
    /// Take a role. Destructive: it ends the former one. An order to take the role that the engine
    /// has changes nothing.
    Role(RoleId),
}

impl OrderKind {
    /// Whether obeying it on old knowledge takes away what another instance wanted.
    pub fn is_destructive(self) -> bool {
        !matches!(self, OrderKind::Load(_))
    }
}

/// An order on its way to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub engine: EngineId,
    /// The fencing number: the configuration's revision that the order carries out.
    pub fence: u64,
    /// What it asks for.
    pub kind: OrderKind,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Obeyed.
    Obeyed,
    /// Refused (409): the engine has obeyed a higher number.
    Fenced {
        /// That number.
        fence: u64,
    },
    /// No answer, or an error. The order may have been obeyed.
    Failed,
}

/// What the caller should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Send an order.
    Send(Order),
    /// Read the engine's `/load` and report it.
    ReadBack(EngineId),
    /// Tell the operator: the engine obeyed a revision that this instance doesn't have; it waits
    /// until the configuration has caught up.
    Outdated {
        /// The engine.
        engine: EngineId,
        /// The engine's number.
        fence: u64,
    },
}
