//! Orders to engines: which models each of them is to hold.
//!
//! [`place`](placement::place) says from the text which engine holds which model, `Orders` of
//! `crocushold-ownership` decides what may be ordered when, [`Desk`] joins the two, and
//! [`EngineOrders`] carries the orders.

mod engine;
mod loads;
mod message;
mod placement;
mod planner;
mod role;
mod send;
mod shared;
#[cfg(test)]
mod tests;

pub(crate) use shared::EngineOrders;
pub(crate) use shared::ModelDemand;
