//! Which servers are eligible for a request.

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use super::Router;
use super::choice::MAX_RETRY_AFTER;
use super::choice::MIN_RETRY_AFTER;
use crate::health::Health;
use crate::router::Demand;
use crate::router::NoServer;
use crate::router::Reason;
use crate::server::Server;

impl Router {
    /// Whether the request may be sent to the server now: it may be sent there at all, the server's
    /// pace permits it, and a brittle server surely has room.
    pub(super) fn is_eligible(&self, server: ServerKey, demand: &Demand<'_>, now: Millis) -> bool {
        self.is_open_to(server, demand)
            && self.is_paced_for(server, demand, now)
            && self.has_room(server, demand, now)
    }

    /// Whether the request may be sent to the server, apart from its pace: it wasn't tried, wants
    /// requests of the sending instance, and is allowed for it.
    pub(super) fn is_open_to(&self, server: ServerKey, demand: &Demand<'_>) -> bool {
        !demand.exclude.contains(&server)
            && rest_of(server, demand).is_none()
            && self.is_allowed(server, demand)
    }

    /// Returns the refusal if all servers of the pool that could take the request are resting, with
    /// the end of the first rest.
    pub(super) fn rest_refusal(
        &self,
        pool: usize,
        demand: &Demand<'_>,
        now: Millis,
    ) -> Option<NoServer> {
        let mut first_end: Option<Millis> = None;
        for server in self.servers.keys() {
            let tried = demand.exclude.contains(&server);
            if tried || !self.is_usable(server, pool) || !self.is_allowed(server, demand) {
                continue;
            }
            // Without a rest the server is only busy.
            let until = rest_of(server, demand)?;
            first_end = Some(first_end.map_or(until, |first| first.min(until)));
        }
        let wait = first_end?.since(now);
        Some(NoServer {
            reason: Reason::Resting,
            retry_after: wait.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER),
        })
    }

    /// Returns the time until the first rest ends, if all servers that could take the request are
    /// resting.
    pub fn rest_wait(&self, demand: &Demand<'_>, now: Millis) -> Option<Millis> {
        let pool = self.pool_of(demand.model)?;
        let refusal = self.rest_refusal(pool, demand, now)?;
        Some(refusal.retry_after)
    }

    /// Ends a server's rest: it gets one request at a time until it has answered one.
    pub fn end_rest(&mut self, server: ServerKey) {
        self.change_health(server, Health::end_rest);
    }

    /// Why no usable server of the pool is allowed for the request, if that is so.
    pub(super) fn exclusion(&self, pool: usize, demand: &Demand<'_>) -> Option<Reason> {
        let usable = || {
            let keys = self.servers.keys();
            let keys = keys.filter(|&server| self.is_usable(server, pool));
            keys.map(|key| &self.servers[key])
        };
        if usable().any(|server| is_in_region(server, demand) && has_software(server, demand)) {
            None
        } else if usable().any(|server| is_in_region(server, demand)) {
            Some(Reason::Software)
        } else {
            Some(Reason::Region)
        }
    }

    /// Whether the server is known, and the request, including parts of its prompt, is allowed there:
    /// in its region, and at its software version.
    pub(super) fn is_allowed(&self, server: ServerKey, demand: &Demand<'_>) -> bool {
        let server = self.servers.get(server);
        server.is_some_and(|server| is_in_region(server, demand) && has_software(server, demand))
    }
}

/// The end of the server's rest; `None` if it accepts requests of the sending instance.
fn rest_of(server: ServerKey, demand: &Demand<'_>) -> Option<Millis> {
    let mut rests = demand.resting.iter();
    rests
        .find(|rest| rest.server == server)
        .map(|rest| rest.until)
}

/// Whether the server has the software version that the request requires. One of unknown version
/// doesn't.
fn has_software(server: &Server, demand: &Demand<'_>) -> bool {
    let required = demand.software;
    required.is_none_or(|required| server.spec.software == Some(required))
}

/// Whether the server is in a region in which the request may run. A server of unknown region is in
/// none.
fn is_in_region(server: &Server, demand: &Demand<'_>) -> bool {
    let Some(regions) = demand.regions else {
        return true;
    };
    let region = server.spec.region;
    region.is_some_and(|region| regions.contains(&region))
}
