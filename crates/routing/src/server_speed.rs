//! The speed of one server: as a rule, and at this moment.
//!
//! Decisions ask this module for durations instead of using one rate for all servers of a service.

use crate::queue_delay::PrefillRate;

/// The speed of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerSpeed {}

impl ServerSpeed {
    /// Returns how long the server takes to prefill `tokens`, in milliseconds. `fleet` is the rate
    /// of all servers of the service.
    pub(crate) fn prefill_ms(&self, tokens: f64, fleet: &PrefillRate) -> f64 {
        fleet.prefill_ms(tokens)
    }
}
