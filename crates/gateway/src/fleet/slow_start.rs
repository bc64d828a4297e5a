//! Which servers are cold, and until when.
//!
//! A server tells in its entry how much longer it is cold. What was written some time ago is taken as if it were said
//! now: it is cold for less than that.

use crocushold_base::Millis;

use super::Fleet;
use crate::routes::SlowStart;

/// The longest time for which an entry is believed that its server is cold.
const MOST_COLD: Millis = Millis::from_secs(60);

impl Fleet {
    /// Takes in which services' servers start slowly.
    pub fn set_slow_starts(&mut self, slow_starts: &[SlowStart]) {
        let slow_starts = slow_starts.iter().cloned();
        let slow_starts = slow_starts.map(|spec| (spec.service.clone(), spec));
        self.slow_starts = slow_starts.collect();
        for (name, service) in &mut self.services {
            service.take_slow_start(self.slow_starts.get(name));
        }
    }

    /// Until when the server is cold; `None` where it is warm, or its service's servers don't start slowly.
    pub fn cold_until(&self, id: &str, now: Millis) -> Option<Millis> {
        let server = &self.servers[*self.ids.get(id)?];
        let starts_slowly = self.slow_starts.contains_key(&server.record.service);
        Some(server.cold_until()).filter(|until| starts_slowly && now < *until)
    }

    /// Takes in how much longer a server is cold, as its entry says.
    pub(super) fn note_cold(&mut self, id: &str, left: Millis, now: Millis) {
        let Some(&key) = self.ids.get(id) else {
            return;
        };
        let server = &mut self.servers[key];
        server.cold = now + left.min(MOST_COLD);
        if let Some(service) = self.services.get_mut(&server.record.service) {
            service.router.set_cold(key, server.cold_until());
        }
    }

    /// Tells a service's router, which was given servers anew, which of them are cold.
    pub(super) fn tell_cold(&mut self, name: &str) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        for (key, server) in &self.servers {
            if server.record.service == name {
                service.router.set_cold(key, server.cold_until());
            }
        }
    }
}
