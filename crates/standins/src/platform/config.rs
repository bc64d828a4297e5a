//! The published configuration and its earlier revisions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;

/// Maximum number of earlier revisions kept for rollback and stale reads.
const MAX_PAST_REVISIONS: usize = 256;

/// A team's part of the configuration.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub(super) text: Arc<str>,
    pub(super) revision: u64,
}

/// The complete configuration at one revision.
#[derive(Clone, Debug, Default)]
pub(super) struct Revision {
    pub(super) number: u64,
    pub(super) parts: BTreeMap<String, Part>,
}

/// The response to `GET /v1/config`.
#[derive(Debug, Serialize)]
pub(super) struct Index {
    revision: u64,
    parts: Vec<IndexEntry>,
}

#[derive(Debug, Serialize)]
struct IndexEntry {
    team: String,
    revision: u64,
    bytes: usize,
}

impl Revision {
    pub(super) fn index(&self) -> Index {
        let entry = |(team, part): (&String, &Part)| IndexEntry {
            team: team.clone(),
            revision: part.revision,
            bytes: part.text.len(),
        };
        Index {
            revision: self.number,
            parts: self.parts.iter().map(entry).collect(),
        }
    }
}

/// The current configuration and its history.
#[derive(Debug)]
pub(super) struct ConfigHistory {
    current: Revision,
    past: VecDeque<Revision>,
    newest: u64,
    pinned: Option<u64>,
}

impl ConfigHistory {
    pub(super) fn new() -> ConfigHistory {
        ConfigHistory {
            current: Revision::default(),
            past: VecDeque::new(),
            newest: 0,
            pinned: None,
        }
    }

    /// Returns the revision visible to readers: the pinned one if set, otherwise the current one.
    pub(super) fn view(&self) -> &Revision {
        let Some(pinned) = self.pinned else {
            return &self.current;
        };
        self.revision_at(pinned).unwrap_or(&self.current)
    }

    /// Publishes a part (`None` removes it) under the next revision.
    pub(super) fn publish(&mut self, team: &str, text: Option<String>) {
        self.newest += 1;
        let mut next = self.current.clone();
        next.number = self.newest;
        match text {
            Some(text) => {
                let part = Part {
                    text: text.into(),
                    revision: self.newest,
                };
                next.parts.insert(team.to_owned(), part);
            }
            None => {
                next.parts.remove(team);
            }
        }
        self.past
            .push_back(std::mem::replace(&mut self.current, next));
        if self.past.len() > MAX_PAST_REVISIONS {
            self.past.pop_front();
        }
    }

    /// Returns the newest published revision.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// Serves `revision` regardless of later changes; `None` serves the current revision again.
    pub(super) fn pin(&mut self, revision: Option<u64>) {
        self.pinned = revision;
    }

    /// Rolls back to an older revision. Later changes continue from the newest revision number, or
    /// with `reuse` from the older one, as after a restore from a backup.
    pub(super) fn roll_back(&mut self, revision: u64, reuse: bool) {
        let Some(older) = self.revision_at(revision).cloned() else {
            return;
        };
        self.past
            .push_back(std::mem::replace(&mut self.current, older));
        if reuse {
            self.newest = revision;
        }
    }

    fn revision_at(&self, revision: u64) -> Option<&Revision> {
        let all = self.past.iter().chain([&self.current]);
        all.rev().find(|r| r.number <= revision)
    }
}
