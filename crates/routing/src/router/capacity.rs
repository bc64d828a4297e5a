//! How much an engine runs at a time, and how long a request waits for a place.
//!
//! The load it answers: a rush in which engines run all that they can. Prompts wait there not to be read but for
//! a place among those that run, or for their memory; where that is short, the engine stops a run that it began,
//! and reads its prompt once more.

use super::Router;
use crate::router::Demand;
use crate::server::Server;

/// What an engine of a service runs at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Requests.
    pub slots: u32,
    /// Tokens of their prompts and answers.
    pub tokens: u32,
}

impl Router {
    /// Sets how much each engine runs at a time; `None` where that isn't known.
    pub fn set_engine_capacity(&mut self, room: Option<EngineCapacity>) {
        self.room = room.filter(|room| room.slots > 0 && room.tokens > 0);
    }

    /// How long the request waits at the server for a place, in milliseconds: one comes free for each that ends,
    /// and with those that are over its room the server is done after as many times its usual request.
    pub(super) fn wait_for_room(&self, server: &Server, demand: &Demand<'_>) -> f64 {
        let Some(room) = self.room else {
            return 0.0;
        };
        let running = f64::from(server.in_flight) + 1.0;
        let tokens = server.tokens as f64 + f64::from(demand.tokens);
        let slots = running / f64::from(room.slots);
        let memory = tokens / f64::from(room.tokens);
        (slots.max(memory) - 1.0).max(0.0) * self.lasting.mean()
    }
}
