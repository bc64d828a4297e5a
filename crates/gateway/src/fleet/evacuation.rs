//! Availability zones that the operator evacuates.
//!
//! Their servers get no new requests, but finish those they have. A server without requests may
//! lose its warm state, and its entry reports that only with the next heartbeat. Servers of a
//! readmitted zone are therefore assumed to be cold.

use std::collections::HashSet;

use crocushold_base::Millis;

use super::Fleet;

impl Fleet {
    /// Evacuates `zone`. Returns true if it wasn't evacuated before.
    pub fn evacuate(&mut self, zone: &str) -> bool {
        let new = self.evacuated.insert(zone.to_owned());
        if new {
            self.zone_changed(zone);
        }
        new
    }

    /// Lets the servers of `zone` receive requests again. Returns true if the zone was evacuated.
    pub fn readmit(&mut self, zone: &str, now: Millis) -> bool {
        let known = self.evacuated.remove(zone);
        if known {
            self.assume_cold(zone, now);
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

    fn assume_cold(&mut self, zone: &str, now: Millis) {
        let servers = self.servers.values_mut();
        for server in servers.filter(|server| server.record.zone == zone) {
            if let Some(slow_start) = self.slow_starts.get(&server.record.service) {
                server.assumed_cold_until = now + slow_start.duration;
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
