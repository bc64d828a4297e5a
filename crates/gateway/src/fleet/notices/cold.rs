//! Tracks which servers are cold, and until when.
//!
//! An entry contains how much longer its server is cold. The time since the entry was written is
//! ignored, which overestimates the remaining cold phase.

use crocushold_base::Millis;

use crate::fleet::Fleet;
use crate::routes::SlowStart;

/// Maximum remaining cold phase that is accepted from an entry.
const MAX_COLD: Millis = Millis::from_secs(60);

impl Fleet {
    /// Sets the services whose servers start slowly.
    pub fn set_slow_starts(&mut self, slow_starts: &[SlowStart]) {
        let slow_starts = slow_starts.iter().cloned();
        let slow_starts = slow_starts.map(|spec| (spec.service.clone(), spec));
        self.slow_starts = slow_starts.collect();
        for (name, service) in &mut self.services {
            service.set_slow_start(self.slow_starts.get(name));
        }
    }

    /// The end of a server's cold phase; `None` if it is warm or its service doesn't start slowly.
    pub fn cold_until(&self, id: &str, now: Millis) -> Option<Millis> {
        let server = &self.servers[*self.ids.get(id)?];
        let starts_slowly = self.slow_starts.contains_key(&server.record.service);
        Some(server.cold_until()).filter(|until| starts_slowly && now < *until)
    }

    /// Records the remaining cold phase of a server, as reported by its entry.
    pub(in crate::fleet) fn record_cold(&mut self, id: &str, remaining: Millis, now: Millis) {
        let Some(&key) = self.ids.get(id) else {
            return;
        };
        let server = &mut self.servers[key];
        server.reported_cold_until = now + remaining.min(MAX_COLD);
        self.push_pace(key, now);
    }
}
