//! Requests to paced servers: cold ones, and those that name a limit.

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use super::Router;
use super::choice::MAX_RETRY_AFTER;
use super::choice::MIN_RETRY_AFTER;
use crate::router::Demand;
use crate::router::NoServer;

impl Router {
    /// Sets how many requests per second a cold server tolerates from all instances together;
    /// `None` if it tolerates as many as a warm one.
    pub fn set_cold_rate(&mut self, rate: Option<f64>) {
        self.cold_rate = rate.filter(|rate| *rate > 0.0);
    }

    /// Marks the server as cold until `until`.
    pub fn set_cold(&mut self, server: ServerKey, until: Millis) {
        if let Some(server) = self.servers.get_mut(server) {
            server.pace.set_cold_until(until);
        }
    }

    /// Sets how many requests per second the server accepts from all instances together; `None` if
    /// it names no limit.
    pub fn set_limit(&mut self, server: ServerKey, limit: Option<f64>, now: Millis) {
        if let Some(server) = self.servers.get_mut(server) {
            server.pace.set_limit(limit, now);
        }
    }

    /// Whether any server is paced. Requests to them must be placed by one instance.
    pub fn has_paced(&self, now: Millis) -> bool {
        let mut servers = self.servers.values();
        servers.any(|server| server.pace.is_paced(self.cold_rate, now))
    }

    /// Whether the server accepts the request now, as far as its pace is concerned.
    pub(super) fn is_paced_for(&self, server: ServerKey, demand: &Demand<'_>, now: Millis) -> bool {
        let pace = &self.servers[server].pace;
        pace.accepts(self.cold_rate, demand.allow_paced, now)
    }

    /// Records that a request is sent to a server, which may be paced.
    pub(super) fn record_paced_request(&mut self, server: ServerKey, now: Millis) {
        self.servers[server].pace.on_sent(now);
    }

    /// Returns the refusal if only paced servers have free slots, with the time when the first of
    /// them may accept a request. `None` if none is paced.
    pub(super) fn paced_refusal(
        &self,
        pool: usize,
        demand: &Demand<'_>,
        now: Millis,
    ) -> Option<NoServer> {
        let open = self.pools[pool].open.iter().map(|open| open.server);
        let servers = open.filter(|&server| self.is_open_to(server, demand));
        let servers = servers.map(|server| &self.servers[server]);
        let refusals = servers.filter_map(|server| server.pace.refusal(self.cold_rate, now));
        let first = refusals.min_by_key(|refusal| refusal.retry_after)?;
        Some(NoServer {
            retry_after: first.retry_after.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER),
            ..first
        })
    }
}
