//! The capacity of an engine, and how long a request waits for it.
//!
//! During a burst, engines run as many requests as they can. Prompts then wait not for their
//! prefill but for a slot or for memory. When memory runs out, the engine preempts a running
//! request and prefills its prompt again.

use super::Router;
use crate::router::Demand;
use crate::server::Server;

/// The capacity of each engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Concurrent requests.
    pub slots: u32,
    /// Tokens of their prompts and answers.
    pub tokens: u32,
}

impl Router {
    /// Sets the capacity of each engine; `None` if it is unknown.
    pub fn set_engine_capacity(&mut self, capacity: Option<EngineCapacity>) {
        self.capacity = capacity.filter(|capacity| capacity.slots > 0 && capacity.tokens > 0);
    }

    /// Returns how long the request waits at the server for capacity, in milliseconds. Each request
    /// that ends frees a slot, so the requests in excess of the capacity, as a multiple of it, take
    /// that many mean request durations.
    pub(super) fn wait_for_capacity(&self, server: &Server, demand: &Demand<'_>) -> f64 {
        let Some(capacity) = self.capacity else {
            return 0.0;
        };
        let running = f64::from(server.in_flight) + 1.0;
        let tokens = server.tokens as f64 + f64::from(demand.tokens);
        let slots = running / f64::from(capacity.slots);
        let memory = tokens / f64::from(capacity.tokens);
        (slots.max(memory) - 1.0).max(0.0) * self.request_duration.mean()
    }
}
