//! Orders to engines: which models each of them is to hold.
//!
//! [`place`](placement::place) says from the text which engine holds which model, `Orders` of
//! `crocushold-ownership` decides what may be ordered when, [`Desk`] joins the two, and
//! [`EngineOrders`] carries the orders.

mod desk;
mod engine;
mod loads;
mod message;
mod placement;
mod role;
mod send;
mod shell;
#[cfg(test)]
mod tests;

pub(crate) use shell::EngineOrders;
pub(crate) use shell::ModelDemand;
