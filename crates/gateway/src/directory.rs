//! The set of servers listed in the registry, kept across registry outages.
//!
//! An entry that disappears while the registry is reachable means that its server is gone. An entry
//! that disappears during an outage means nothing, because the server could not renew it. Removing
//! such servers would empty the fleet after every outage and refuse every caller although all
//! servers run. They are therefore kept as unconfirmed, and removed only if the entry is still
//! missing some time after the registry has recovered.
//!
//! An instance that lost its own contact can't tell whether the registry was unavailable to all. If
//! another instance kept its contact meanwhile, servers could renew their entries, and the removals
//! are confirmed.

use std::collections::HashMap;
use std::collections::HashSet;

use crocushold_base::Millis;

use crate::era::EntryVersion;
use crate::era::EraGuard;

/// How long the entry of a live server may be missing after the registry has recovered.
///
/// The platform documents that live servers are listed again within about two seconds.
pub const RETURN_GRACE: Millis = Millis::from_secs(2);

/// Longest time between two answers of the registry for which the contact counts as uninterrupted.
/// It is longer than a watch waits; an instance that was suspended for longer knows nothing about
/// that time.
const MAX_SILENCE: Millis = Millis::from_secs(6);

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
    contact: Contact,
    recovery: Option<Recovery>,
}

/// Contact of this instance to the registry.
#[derive(Clone, Copy, Debug, Default)]
enum Contact {
    /// No call has succeeded yet.
    #[default]
    None,
    /// The last call succeeded.
    Available {
        /// Since when no call has failed.
        since: Millis,
        /// When the last call succeeded.
        confirmed: Millis,
    },
    /// The last call failed.
    Lost {
        /// When the last call before the failure succeeded; `None` if none has.
        confirmed: Option<Millis>,
    },
}

/// The last recovery of the registry.
#[derive(Clone, Copy, Debug)]
struct Recovery {
    /// When it was noticed.
    at: Millis,
    /// When the contact was last known to exist before; `None` if that isn't known, or if the
    /// registry's contents changed in a way that other instances may not have noticed yet.
    lost: Option<Millis>,
}

impl Directory {
    /// Records a failed call. Returns true if the registry was reachable before.
    pub fn record_failure(&mut self) -> bool {
        let confirmed = match self.contact {
            Contact::Lost { .. } => return false,
            Contact::None => None,
            Contact::Available { confirmed, .. } => Some(confirmed),
        };
        self.contact = Contact::Lost { confirmed };
        true
    }

    /// Records a successful call. Returns true if the registry was unreachable before.
    pub fn record_success(&mut self, now: Millis) -> bool {
        let (since, lost) = match self.contact {
            Contact::None => (now, None),
            Contact::Available { since, confirmed } if now.since(confirmed) <= MAX_SILENCE => {
                (since, None)
            }
            Contact::Available { .. } => (now, None),
            Contact::Lost { confirmed } => (now, Some(confirmed)),
        };
        self.contact = Contact::Available {
            since,
            confirmed: now,
        };
        if let Some(lost) = lost {
            let lost = self.unconfirmed_since(lost, now);
            self.recovery = Some(Recovery { at: now, lost });
        }
        lost.is_some()
    }

    /// The start of the outages whose removals may still be unconfirmed, if the last of them began
    /// at `lost`.
    fn unconfirmed_since(&self, lost: Option<Millis>, now: Millis) -> Option<Millis> {
        let settled = self.unconfirmed.is_empty() && self.grace_ends(now).is_none();
        let before = self.recovery.filter(|_| !settled);
        match before {
            Some(before) => before.lost.min(lost),
            None => lost,
        }
    }

    /// Records that the registry was restored from an older copy. Servers that are missing from the
    /// copy may have started since, so removed entries stay unconfirmed as after an outage.
    pub fn record_rollback(&mut self, now: Millis) {
        self.contact = Contact::Available {
            since: now,
            confirmed: now,
        };
        self.recovery = Some(Recovery {
            at: now,
            lost: None,
        });
        self.eras.start_era(now);
    }

    /// How long this instance has had contact to the registry without a failed call; `None` while it
    /// has none.
    pub fn contact_age(&self, now: Millis) -> Option<Millis> {
        match self.contact {
            Contact::Available { since, confirmed } if now.since(confirmed) <= MAX_SILENCE => {
                Some(now.since(since))
            }
            _ => None,
        }
    }

    /// Whether the contact of another instance during the last outage would confirm removals.
    pub fn needs_confirmation(&self, now: Millis) -> bool {
        let lost = self.recovery.and_then(|recovery| recovery.lost);
        lost.is_some() && self.grace_ends(now).is_some()
    }

    /// Records that another instance has had contact to the registry since `since`. Returns the
    /// servers that are therefore known to be gone.
    pub fn confirm_removals(&mut self, since: Millis, now: Millis) -> Vec<String> {
        let lost = self.recovery.and_then(|recovery| recovery.lost);
        if !self.needs_confirmation(now) || lost.is_none_or(|lost| since > lost) {
            return Vec::new();
        }
        self.recovery = None;
        let gone: Vec<String> = self.unconfirmed.keys().cloned().collect();
        for id in &gone {
            self.forget(id);
        }
        gone
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

    /// Whether a server is listed under this name, or was until a moment ago.
    pub fn is_known(&self, id: &str) -> bool {
        self.known.contains(id)
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
        if matches!(self.contact, Contact::Lost { .. }) {
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
        let ends = self.recovery?.at + RETURN_GRACE;
        (now < ends).then_some(ends)
    }

    fn forget(&mut self, id: &str) -> bool {
        self.unconfirmed.remove(id);
        self.eras.remove(id);
        self.known.remove(id)
    }
}
