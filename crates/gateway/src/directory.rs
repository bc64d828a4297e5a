//! Which servers the registry lists, through times in which it can't be read.
//!
//! An entry that vanishes while the registry works says that its server is gone. One that vanishes
//! while the registry is away says nothing: the server couldn't renew it. Acting on it would empty the
//! fleet after each outage, and every caller would be refused although all servers run. So such an
//! entry is doubted, and counts as gone only when it is still missing a while after the return.

use std::collections::HashMap;
use std::collections::HashSet;

use crocushold_base::Millis;

use crate::era::EntryVersion;
use crate::era::EraGuard;

/// How long after the registry's return a live server's entry may still be missing.
///
/// The platform's pages promise that live servers are back within about two seconds.
pub const RETURN_GRACE: Millis = Millis::from_secs(2);

/// The entries that are known.
#[derive(Debug, Default)]
pub struct Directory {
    known: HashSet<String>,
    /// Entries that vanished around an outage, and when they count as gone.
    unconfirmed: HashMap<String, Millis>,
    /// What is believed of a store that went back.
    eras: EraGuard,
    unavailable: bool,
    recovered_at: Option<Millis>,
}

impl Directory {
    /// A call failed; true when the registry was there before.
    pub fn record_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.unavailable, true)
    }

    /// A call succeeded; true when the registry was away before.
    pub fn record_success(&mut self, now: Millis) -> bool {
        let unavailable = std::mem::take(&mut self.unavailable);
        if unavailable {
            self.recovered_at = Some(now);
        }
        unavailable
    }

    /// The registry has come back from an older copy. Servers that this lacks may have started since, so that their
    /// entries are doubted as after an outage.
    pub fn record_rollback(&mut self, now: Millis) {
        self.recovered_at = Some(now);
        self.eras.begin(now);
    }

    /// The evacuations that an older copy may lack.
    pub fn eras(&mut self) -> &mut EraGuard {
        &mut self.eras
    }

    /// The server has an entry; whether it is believed. One of an older copy isn't.
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

    /// The entry vanished; true when its server is gone.
    pub fn remove(&mut self, id: &str, now: Millis) -> bool {
        if !self.known.contains(id) {
            return false;
        }
        match self.grace_ends(now) {
            Some(until) => {
                self.unconfirmed.entry(id.to_owned()).or_insert(until);
                false
            }
            None => self.forget(id),
        }
    }

    /// The whole list was read and holds only `ids`; returns the servers that are gone.
    pub fn reconcile(&mut self, ids: &HashSet<&str>, now: Millis) -> Vec<String> {
        let missing = self.known.iter().filter(|id| !ids.contains(id.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        let gone = missing.into_iter().filter(|id| self.remove(id, now));
        gone.collect()
    }

    /// The servers whose entries are still missing at the end of their grace.
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

    /// The entry was replaced by one that names no server; true when its server was known. Nothing is
    /// doubted here: the registry was there to take the entry.
    pub fn invalidate(&mut self, id: &str) -> bool {
        self.forget(id)
    }

    /// How many entries are doubted.
    pub fn unconfirmed(&self) -> usize {
        self.unconfirmed.len()
    }

    /// When an entry that vanishes now counts as gone; `None` for at once.
    fn grace_ends(&self, now: Millis) -> Option<Millis> {
        let ends = self.recovered_at? + RETURN_GRACE;
        (now < ends).then_some(ends)
    }

    fn forget(&mut self, id: &str) -> bool {
        self.unconfirmed.remove(id);
        self.eras.forget(id);
        self.known.remove(id)
    }
}
