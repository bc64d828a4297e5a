//! Which servers are eligible for a request.

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use super::Router;
use crate::router::Demand;
use crate::server::Server;

impl Router {
    /// Whether the request may be sent to the server: it wasn't tried, is in an allowed region, and
    /// its pace permits it.
    pub(super) fn is_eligible(&self, server: ServerKey, demand: &Demand<'_>, now: Millis) -> bool {
        !demand.exclude.contains(&server)
            && is_in_region(&self.servers[server], demand)
            && self.is_paced_for(server, demand, now)
    }

    /// Whether a usable server of the pool is in a region in which the request may run.
    pub(super) fn has_region(&self, pool: usize, demand: &Demand<'_>) -> bool {
        let mut usable = self
            .servers
            .keys()
            .filter(|&server| self.is_usable(server, pool));
        usable.any(|server| self.is_allowed(server, demand))
    }

    /// Whether the server is known and in a region in which the request, including parts of its
    /// prompt, is allowed.
    pub(super) fn is_allowed(&self, server: ServerKey, demand: &Demand<'_>) -> bool {
        let server = self.servers.get(server);
        server.is_some_and(|server| is_in_region(server, demand))
    }
}

/// Whether the server is in a region in which the request may run. A server of unknown region is in
/// none.
pub(super) fn is_in_region(server: &Server, demand: &Demand<'_>) -> bool {
    let Some(regions) = demand.regions else {
        return true;
    };
    let region = server.spec.region;
    region.is_some_and(|region| regions.contains(&region))
}
