//! The set of servers listed in the registry, kept across registry outages.
//!
//! An entry that disappears while the registry is reachable means that its server is gone. An entry
//! that disappears during an outage means nothing, because the server could not renew it. Removing
//! such servers would empty the fleet after every outage and refuse every caller although all
//! servers run. They are therefore kept as unconfirmed, and removed only if the entry is still
//! missing some time after the registry has recovered.

use std::collections::HashMap;
use std::collections::HashSet;

use crocushold_base::Millis;

use crate::era::EntryVersion;
use crate::era::EraGuard;

/// How long the entry of a live server may be missing after the registry has recovered.
///
/// The platform documents that live servers are listed again within about two seconds.
pub const RETURN_GRACE: Millis = Millis::from_secs(2);

/// Result of the removal of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// The server is gone.
    Gone,
    /// The server may still be running; unless its entry reappears, it is gone at this time.
    Unconfirmed(Millis),
    /// No server was listed under this name.
    Unknown,
}

/// The set of listed servers.
#[derive(Debug, Default)]
pub struct Directory {
    known: HashSet<String>,
    /// Servers whose entries disappeared around an outage, with the time at which each is removed.
    unconfirmed: HashMap<String, Millis>,
    /// Versions of entries and evacuations, for a store that was restored from an older copy.
    eras: EraGuard,
    unavailable: bool,
    recovered_at: Option<Millis>,
}

impl Directory {
    /// Records a failed call. Returns true if the registry was reachable before.
    pub fn record_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.unavailable, true)
    }

    /// Records a successful call. Returns true if the registry was unreachable before.
    pub fn record_success(&mut self, now: Millis) -> bool {
        let unavailable = std::mem::take(&mut self.unavailable);
        if unavailable {
            self.recovered_at = Some(now);
        }
        unavailable
    }

    /// Records that the registry was restored from an older copy. Servers that are missing from the
    /// copy may have started since, so removed entries stay unconfirmed as after an outage.
    pub fn record_rollback(&mut self, now: Millis) {
        self.recovered_at = Some(now);
        self.eras.start_era(now);
    }

    /// The guard against outdated entries and evacuations after a restore.
    pub fn eras(&mut self) -> &mut EraGuard {
        &mut self.eras
    }

    /// Records the entry of a server. Returns whether it is accepted: an entry from an older copy
    /// is not.
    pub fn observe(&mut self, id: &str, version: EntryVersion) -> bool {
        if !self.eras.accepts(id, version) {
            return false;
        }
        self.unconfirmed.remove(id);
        if !self.known.contains(id) {
            self.known.insert(id.to_owned());
        }
        true
    }

    /// Records that an entry was removed.
    pub fn remove(&mut self, id: &str, now: Millis) -> Removal {
        if !self.known.contains(id) {
            return Removal::Unknown;
        }
        match self.grace_ends(now) {
            Some(until) => {
                let until = *self.unconfirmed.entry(id.to_owned()).or_insert(until);
                Removal::Unconfirmed(until)
            }
            None => {
                self.forget(id);
                Removal::Gone
            }
        }
    }

    /// Applies a full listing that contains exactly `ids`. Returns the servers that are missing
    /// from it.
    pub fn reconcile(&mut self, ids: &HashSet<&str>, now: Millis) -> Vec<(String, Removal)> {
        let missing = self.known.iter().filter(|id| !ids.contains(id.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        let removed = missing.into_iter().map(|id| {
            let removal = self.remove(&id, now);
            (id, removal)
        });
        removed.collect()
    }

    /// Removes the servers whose entries are still missing at the end of their grace period, and
    /// returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        if self.unavailable {
            return Vec::new();
        }
        let due = self.unconfirmed.iter().filter(|(_, until)| **until <= now);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.forget(id);
        }
        due
    }

    /// Removes a server whose entry was replaced by one that can't be decoded. Returns true if the
    /// server was known. There is no grace period, since the registry was reachable to accept the
    /// new entry.
    pub fn invalidate(&mut self, id: &str) -> bool {
        self.forget(id)
    }

    /// The time at which the next server counts as gone unless its entry reappears.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.unconfirmed.values().copied().min()
    }

    /// Number of servers whose entries are missing but which aren't removed yet.
    pub fn unconfirmed(&self) -> usize {
        self.unconfirmed.len()
    }

    /// The time at which an entry that is removed now counts as gone; `None` if it does so at once.
    fn grace_ends(&self, now: Millis) -> Option<Millis> {
        let ends = self.recovered_at? + RETURN_GRACE;
        (now < ends).then_some(ends)
    }

    fn forget(&mut self, id: &str) -> bool {
        self.unconfirmed.remove(id);
        self.eras.remove(id);
        self.known.remove(id)
    }
}
