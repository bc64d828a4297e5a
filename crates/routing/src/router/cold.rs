//! Servers that are cold, and what they take.

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use super::Router;
use super::choice::LEAST_RETURN;
use super::choice::MAX_WAIT;
use super::placement::is_in_region;
use crate::router::Demand;
use crate::router::NoServer;
use crate::router::Reason;

impl Router {
    /// Sets how many requests a second a cold server takes, from all instances together; `None` where it takes as
    /// many as a warm one.
    pub fn set_cold_rate(&mut self, rate: Option<f64>) {
        self.cold_rate = rate.filter(|rate| *rate > 0.0);
    }

    /// The server is cold until then.
    pub fn set_cold(&mut self, server: ServerKey, until: Millis) {
        if let Some(server) = self.servers.get_mut(server) {
            server.slow_start.set(until);
        }
    }

    /// Whether the server takes the request now, as far as that hangs on its being cold.
    pub(super) fn is_warm_for(&self, server: ServerKey, demand: &Demand<'_>, now: Millis) -> bool {
        let slow_start = &self.servers[server].slow_start;
        self.cold_rate.is_none() || slow_start.takes(demand.allow_cold, now)
    }

    /// Notes that a request is sent to a server, which may be cold.
    pub(super) fn note_warming(&mut self, server: ServerKey, now: Millis) {
        if let Some(rate) = self.cold_rate {
            self.servers[server].slow_start.sent(rate, now);
        }
    }

    /// The refusal where cold servers alone are free: when the first of them is warm. `None` where none is cold.
    pub(super) fn cold_refusal(
        &self,
        pool: usize,
        demand: &Demand<'_>,
        now: Millis,
    ) -> Option<NoServer> {
        self.cold_rate?;
        let open = self.pools[pool].open.iter().map(|open| open.server);
        let servers = open.filter(|server| !demand.exclude.contains(server));
        let servers = servers.map(|server| &self.servers[server]);
        let servers = servers.filter(|server| is_in_region(server, demand));
        let left = servers.filter_map(|server| server.slow_start.left(now));
        Some(NoServer {
            reason: Reason::Cold,
            retry_after: left.min()?.max(LEAST_RETURN).min(MAX_WAIT),
        })
    }
}
