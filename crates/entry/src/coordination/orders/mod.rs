//! Orders to engines: which models each engine is to hold.
//!
//! [`place`](placement::place) chooses the engines of each model from the configuration, and
//! `Orders` of `crocushold-ownership` decides what may be ordered when. `OrderPlanner` combines the
//! two, and [`EngineOrders`] sends the orders.

mod engine;
mod loads;
mod message;
mod placement;
mod planner;
mod role;
mod send;
mod shell;
#[cfg(test)]
mod tests;

pub(crate) use shell::EngineOrders;
pub(crate) use shell::ModelDemand;
