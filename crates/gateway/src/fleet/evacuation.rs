//! Availability zones that the operator wants emptied.
//!
//! Nothing new goes to their servers; what runs there goes on to its end. A server that got nothing for a while may have
//! lost what made it warm, and its entry says so only with its next heartbeat. So it counts as cold when the zone is
//! readmitted.

use std::collections::HashSet;

use crocushold_base::Millis;

use super::Fleet;

impl Fleet {
    /// Nothing is sent to the servers of `zone` from now on; true where that is new.
    pub fn evacuate(&mut self, zone: &str) -> bool {
        let new = self.evacuated.insert(zone.to_owned());
        if new {
            self.zone_changed(zone);
        }
        new
    }

    /// The servers of `zone` take requests again; true where it was evacuated.
    pub fn readmit(&mut self, zone: &str, now: Millis) -> bool {
        let known = self.evacuated.remove(zone);
        if known {
            self.presume_cold(zone, now);
            self.zone_changed(zone);
        }
        known
    }

    /// The evacuated zones that aren't among `zones`.
    pub fn evacuated_except(&self, zones: &HashSet<&str>) -> Vec<String> {
        let zones = self
            .evacuated
            .iter()
            .filter(|zone| !zones.contains(zone.as_str()));
        zones.cloned().collect()
    }

    fn presume_cold(&mut self, zone: &str, now: Millis) {
        let servers = self.servers.values_mut();
        for server in servers.filter(|server| server.record.zone == zone) {
            if let Some(slow_start) = self.slow_starts.get(&server.record.service) {
                server.presumed_cold = now + slow_start.span;
            }
        }
    }

    fn zone_changed(&mut self, zone: &str) {
        let servers = self.servers.values();
        let servers = servers.filter(|server| server.record.zone == zone);
        let services = servers.map(|server| server.record.service.clone());
        self.changed.extend(services);
    }
}
