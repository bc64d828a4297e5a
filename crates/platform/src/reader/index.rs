//! Which index answers are believed.

use std::collections::BTreeMap;

use crate::reader::snapshot::Snapshot;
use crate::wire::ConfigIndex;

/// What an index answer is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trust {
    /// As new as the newest known, or newer.
    Accepted,
    /// Older than an earlier answer.
    Older,
    /// Lists other parts than an earlier answer of the same revision.
    Differs,
}

/// The newest index, and the highest revision seen anywhere.
///
/// A stale replica, or a service restored from a copy, answers older revisions. Applying one would
/// revert changes that were already in force; so the highest revision ever seen is the floor.
#[derive(Clone, Debug, Default)]
pub(crate) struct IndexTrust {
    highest: u64,
    /// Revision of the newest index, or of an adopted configuration.
    current: Option<u64>,
    /// The parts' revisions of the newest index; `None` after an adoption, which may lack parts.
    listed: Option<BTreeMap<String, u64>>,
}

impl IndexTrust {
    pub(crate) fn highest(&self) -> u64 {
        self.highest
    }

    /// Revision of the index that the parts are to be read for; `None` while it is known to be
    /// out of date.
    pub(crate) fn current(&self) -> Option<u64> {
        self.current.filter(|revision| *revision >= self.highest)
    }

    pub(crate) fn judge(&self, index: &ConfigIndex) -> Trust {
        if index.revision < self.highest {
            return Trust::Older;
        }
        let differs = self.listed.as_ref().is_some_and(|l| *l != listed(index));
        if self.current == Some(index.revision) && differs {
            return Trust::Differs;
        }
        Trust::Accepted
    }

    /// Whether an accepted index can list anything that the newest one didn't.
    pub(crate) fn is_news(&self, index: &ConfigIndex) -> bool {
        self.listed.is_none() || self.current != Some(index.revision)
    }

    pub(crate) fn accept(&mut self, index: &ConfigIndex) {
        self.highest = index.revision;
        self.current = Some(index.revision);
        self.listed = Some(listed(index));
    }

    /// Notes a revision that a part carries; returns whether it is news.
    pub(crate) fn raise(&mut self, revision: u64) -> bool {
        let news = revision > self.highest;
        self.highest = self.highest.max(revision);
        news
    }

    /// Takes over a peer's configuration if it is newer; returns whether it is.
    pub(crate) fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        if snapshot.revision <= self.highest {
            return false;
        }
        self.highest = snapshot.revision;
        self.current = Some(snapshot.revision);
        self.listed = None;
        true
    }
}

fn listed(index: &ConfigIndex) -> BTreeMap<String, u64> {
    let parts = index.parts.iter();
    parts.map(|p| (p.team.clone(), p.revision)).collect()
}
