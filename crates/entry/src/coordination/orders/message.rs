//! Inputs and outputs of an order planner.

use std::net::SocketAddr;

use crocushold_ownership::ModelId;
use crocushold_ownership::Order;
use crocushold_platform::wire;

/// An order that is ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OutboundOrder {
    pub(super) order: Order,
    /// The engine's name, for the log.
    pub(super) server: String,
    pub(super) address: SocketAddr,
    pub(super) body: wire::Order,
}

/// An engine that obeyed an order of a newer configuration than this instance has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outdated {
    pub(super) server: String,
    pub(super) fence: u64,
}

/// The rank of the requests for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ModelRank {
    pub(super) model: ModelId,
    /// Highest tier of the recent requests, where 0 is the highest of all.
    pub(super) rank: u8,
}

/// What is to be done after a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct TickActions {
    pub(super) orders: Vec<OutboundOrder>,
    pub(super) outdated: Vec<Outdated>,
}
