//! Requests to cold servers.

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use super::Router;
use super::choice::MAX_RETRY_AFTER;
use super::choice::MIN_RETRY_AFTER;
use super::placement::is_in_region;
use crate::router::Demand;
use crate::router::NoServer;
use crate::router::Reason;

impl Router {
    /// Sets how many requests per second a cold server tolerates from all instances together;
    /// `None` if it tolerates as many as a warm one.
    pub fn set_cold_rate(&mut self, rate: Option<f64>) {
        self.cold_rate = rate.filter(|rate| *rate > 0.0);
    }

    /// Marks the server as cold until `until`.
    pub fn set_cold(&mut self, server: ServerKey, until: Millis) {
        if let Some(server) = self.servers.get_mut(server) {
            server.slow_start.set_cold_until(until);
        }
    }

    /// Whether the server accepts the request now, as far as slow start is concerned.
    pub(super) fn is_warm_for(&self, server: ServerKey, demand: &Demand<'_>, now: Millis) -> bool {
        let slow_start = &self.servers[server].slow_start;
        self.cold_rate.is_none() || slow_start.accepts(demand.allow_cold, now)
    }

    /// Records that a request is sent to a server, which may be cold.
    pub(super) fn record_cold_request(&mut self, server: ServerKey, now: Millis) {
        if let Some(rate) = self.cold_rate {
            self.servers[server].slow_start.on_sent(rate, now);
        }
    }

    /// Returns the refusal if only cold servers have free slots, with the time when the first of
    /// them is warm. `None` if none is cold.
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
        let left = servers.filter_map(|server| server.slow_start.remaining(now));
        Some(NoServer {
            reason: Reason::Cold,
            retry_after: left.min()?.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER),
        })
    }
}
