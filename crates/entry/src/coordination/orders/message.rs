//! What goes in and out of a desk.

use std::net::SocketAddr;

use crocushold_ownership::ModelId;
use crocushold_ownership::Order;
use crocushold_platform::wire;

/// An order to carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OutboundOrder {
    pub(super) order: Order,
    /// The engine's name, for the log.
    pub(super) server: String,
    pub(super) address: SocketAddr,
    pub(super) body: wire::Order,
}

/// An engine obeyed a newer text than this instance has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outdated {
    pub(super) server: String,
    pub(super) fence: u64,
}

/// For whom a model is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ModelRank {
    pub(super) model: ModelId,
    /// The highest tier of its requests of late, 0 being the live one.
    pub(super) rank: u8,
}

/// What is to be done after a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct TickActions {
    pub(super) orders: Vec<OutboundOrder>,
    pub(super) outdated: Vec<Outdated>,
}
