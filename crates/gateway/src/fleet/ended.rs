//! Processes that have probably ended, before the store says so.
//!
//! A process that has ended may be replaced under its name at once, by one of another software version. Until the entry of
//! the new process is read, the version of the old one stands for it.

use crocushold_base::Millis;

use super::Choice;
use super::Fleet;

/// Age that an entry may have when it is read. Entries that are read so long after a process has ended were written after
/// its end.
const MAX_ENTRY_AGE: Millis = Millis::from_secs(3);

/// The probable end of a process.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbableEnd {
    at: Millis,
    /// Number of the last entry that was read before.
    sequence: u64,
}

impl Fleet {
    /// Records that the process of the chosen server has probably ended, as its address refuses connections. The server has no
    /// known software version from then on, until an entry shows that it lives or that another process has started. Returns
    /// whether the version was known before.
    pub fn record_refused(&mut self, choice: &Choice, now: Millis) -> bool {
        if !self.is_current(choice) {
            return false;
        }
        let server = &self.servers[choice.server];
        let end = ProbableEnd {
            at: now,
            sequence: server.reported_cold.sequence(),
        };
        let is_first = self.ends.insert(choice.server, end).is_none();
        if is_first {
            self.changed.insert(server.record.service.clone());
        }
        is_first
    }

    /// Whether the software version of the chosen server is known.
    pub fn knows_software(&self, choice: &Choice) -> bool {
        self.is_current(choice) && !self.ends.contains_key(choice.server)
    }

    /// Clears the probable end of a server's process if an entry, with this number, was written after it.
    pub(super) fn review_end(&mut self, id: &str, sequence: u64, restarted: bool, now: Millis) {
        let Some(&key) = self.ids.get(id) else {
            return;
        };
        let lives =
            |end: &ProbableEnd| sequence > end.sequence && now.since(end.at) >= MAX_ENTRY_AGE;
        let is_over = self
            .ends
            .get(key)
            .is_some_and(|end| restarted || lives(end));
        if is_over {
            self.ends.remove(key);
            let service = self.servers[key].record.service.clone();
            self.changed.insert(service);
        }
    }
}
