//! The teams' parts: which are held, and which are still to be read.

use std::collections::BTreeMap;
use std::sync::Arc;

use crocushold_base::Millis;

use crate::call::Failure;
use crate::health::Health;
use crate::pace::Backoff;
use crate::pace::BackoffSettings;
use crate::reader::settings::ReaderSettings;
use crate::reader::snapshot::Part;
use crate::reader::snapshot::Snapshot;
use crate::report::Report;
use crate::wire::ConfigIndex;
use crate::wire::PartEntry;
use crate::wire::PartText;

/// Why a read of a part didn't bring what was wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PartFailure {
    /// The call failed.
    Call(Failure),
    /// The text is older than the index says.
    Older { offered: u64 },
}

/// All parts that the index lists.
#[derive(Clone, Debug)]
pub(crate) struct Parts {
    teams: BTreeMap<String, PartState>,
    backoff: BackoffSettings,
    tries: u32,
    limit: u64,
}

#[derive(Clone, Debug)]
struct PartState {
    held: Option<Part>,
    wanted: u64,
    due: Millis,
    backoff: Backoff,
    /// Whether the part failed often enough for the others to go ahead.
    lagging: bool,
}

impl PartState {
    fn new(backoff: BackoffSettings) -> PartState {
        PartState {
            held: None,
            wanted: 0,
            due: Millis::ZERO,
            backoff: Backoff::new(backoff),
            lagging: false,
        }
    }

    fn held_revision(&self) -> Option<u64> {
        self.held.as_ref().map(|p| p.revision)
    }

    fn is_pending(&self) -> bool {
        self.held_revision().is_none_or(|held| held < self.wanted)
    }

    fn aim(&mut self, revision: u64) {
        self.wanted = revision;
        self.due = Millis::ZERO;
        self.backoff.succeed();
        self.lagging = false;
    }
}

impl Parts {
    pub(crate) fn new(settings: &ReaderSettings) -> Parts {
        Parts {
            teams: BTreeMap::new(),
            backoff: settings.backoff,
            tries: settings.tries,
            limit: settings.limit,
        }
    }

    /// Sets out to hold what a newer index lists.
    pub(crate) fn aim(&mut self, index: &ConfigIndex) -> Vec<Report> {
        self.teams
            .retain(|team, _| index.parts.iter().any(|p| p.team == *team));
        let entries = index.parts.iter();
        entries.filter_map(|entry| self.aim_part(entry)).collect()
    }

    fn aim_part(&mut self, entry: &PartEntry) -> Option<Report> {
        let new = || PartState::new(self.backoff);
        let state = self.teams.entry(entry.team.clone()).or_insert_with(new);
        let held = state.held_revision();
        if let Some(held) = held.filter(|held| entry.revision < *held) {
            return Some(Report::PartOlder {
                team: entry.team.clone(),
                offered: entry.revision,
                expected: held,
            });
        }
        if entry.revision > state.wanted {
            state.aim(entry.revision);
        }
        if entry.bytes <= self.limit || state.lagging {
            return None;
        }
        // Reading it would cost a call and a megabyte each time, for a text that is refused anyway.
        state.lagging = true;
        state.due = Millis::MAX;
        Some(Report::PartUnread {
            team: entry.team.clone(),
            failure: Failure::Malformed(format!("{} bytes, at most {}", entry.bytes, self.limit)),
        })
    }

    /// Takes a text that was read.
    pub(crate) fn take(&mut self, team: &str, text: PartText) -> Result<(), PartFailure> {
        let Some(state) = self.teams.get_mut(team) else {
            return Ok(());
        };
        if text.text.len() as u64 > self.limit {
            let failure = Failure::Malformed("longer than its limit".into());
            return Err(PartFailure::Call(failure));
        }
        if text.revision < state.wanted {
            let offered = text.revision;
            return Err(PartFailure::Older { offered });
        }
        state.aim(text.revision);
        state.held = Some(Part {
            team: team.to_owned(),
            revision: text.revision,
            text: Arc::from(text.text),
        });
        Ok(())
    }

    /// Puts the next read of a part off; reports once for each revision wanted.
    pub(crate) fn fail(
        &mut self,
        team: &str,
        failure: PartFailure,
        health: &mut Health,
        now: Millis,
    ) -> Option<Report> {
        let state = self.teams.get_mut(team)?;
        state.due = now + health.pause(&mut state.backoff);
        let definite = matches!(&failure, PartFailure::Call(f) if f.is_definite());
        let lagging = definite || state.backoff.failures() >= self.tries;
        if state.lagging || !lagging {
            return None;
        }
        state.lagging = true;
        let team = team.to_owned();
        Some(match failure {
            PartFailure::Call(failure) => Report::PartUnread { team, failure },
            PartFailure::Older { offered } => Report::PartOlder {
                team,
                offered,
                expected: state.wanted,
            },
        })
    }

    /// The pending part that is due first, other than those being read.
    pub(crate) fn next(&self, reading: &[&str]) -> Option<(&str, Millis)> {
        let pending = self.teams.iter().filter(|(_, s)| s.is_pending());
        let idle = pending.filter(|(team, _)| !reading.contains(&team.as_str()));
        let due = idle.map(|(team, s)| (team.as_str(), s.due));
        due.min_by_key(|(_, due)| *due)
            .filter(|(_, due)| *due < Millis::MAX)
    }

    /// Whether every part is held as listed, or has failed often enough.
    pub(crate) fn are_settled(&self) -> bool {
        let mut states = self.teams.values();
        states.all(|s| !s.is_pending() || s.lagging)
    }

    pub(crate) fn snapshot(&self, revision: u64) -> Snapshot {
        let pending = self.teams.iter().filter(|(_, s)| s.is_pending());
        Snapshot {
            revision,
            lagging: pending.map(|(team, _)| team.clone()).collect(),
            parts: self.teams.values().filter_map(|s| s.held.clone()).collect(),
        }
    }

    /// Takes over a peer's configuration.
    pub(crate) fn adopt(&mut self, snapshot: &Snapshot) {
        self.teams.clear();
        for part in &snapshot.parts {
            let mut state = PartState::new(self.backoff);
            state.wanted = part.revision;
            state.held = Some(part.clone());
            self.teams.insert(part.team.clone(), state);
        }
    }
}
