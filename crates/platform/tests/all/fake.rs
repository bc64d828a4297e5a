//! A fake platform.

use std::collections::BTreeMap;

use crocushold_base::Millis;
use crocushold_platform::Answer;
use crocushold_platform::Call;
use crocushold_platform::Failure;
use crocushold_platform::wire::ConfigIndex;
use crocushold_platform::wire::InstanceList;
use crocushold_platform::wire::PartEntry;
use crocushold_platform::wire::PartText;

/// Time from a call to its answer.
pub(crate) const LATENCY: Millis = Millis(5);

/// How the platform behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Answers.
    Up,
    /// Takes calls and never answers.
    Frozen,
    /// Refuses connections.
    Down,
    /// Answers 429.
    Throttling(Option<Millis>),
    /// Answers watches at once, changed or not.
    Hasty,
    /// Answers reads, but loses watches.
    LosesWatches,
}

/// One team's part.
#[derive(Clone, Debug)]
pub(crate) struct FakePart {
    pub(crate) revision: u64,
    /// The text, or why it can't be read.
    pub(crate) text: Result<String, Failure>,
    pub(crate) bytes: u64,
}

/// The published documents and the platform's behaviour.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub(crate) mode: Mode,
    pub(crate) revision: u64,
    pub(crate) parts: BTreeMap<String, FakePart>,
    pub(crate) list: InstanceList,
    /// An index that is answered in place of the present one: a stale replica.
    pub(crate) stale: Option<ConfigIndex>,
    /// Parts that are answered in place of the present ones.
    pub(crate) stale_parts: BTreeMap<String, FakePart>,
}

impl Platform {
    /// A platform with one part for each team.
    pub(crate) fn with_teams(teams: &[&str]) -> Platform {
        let mut platform = Platform {
            mode: Mode::Up,
            revision: 10,
            parts: BTreeMap::new(),
            list: InstanceList::default(),
            stale: None,
            stale_parts: BTreeMap::new(),
        };
        for team in teams {
            platform.change(team);
        }
        platform
    }

    /// Publishes a new text of a team's part and returns the revision.
    pub(crate) fn change(&mut self, team: &str) -> u64 {
        self.revision += 1;
        let text = format!("{team} at {}", self.revision);
        let part = FakePart {
            revision: self.revision,
            bytes: text.len() as u64,
            text: Ok(text),
        };
        self.parts.insert(team.to_owned(), part);
        self.revision
    }

    pub(crate) fn index(&self) -> ConfigIndex {
        let entries = self.parts.iter().map(|(team, part)| PartEntry {
            team: team.clone(),
            revision: part.revision,
            bytes: part.bytes,
        });
        ConfigIndex {
            revision: self.revision,
            parts: entries.collect(),
        }
    }

    /// What a call that was made `age` ago brings now; `None` while it waits.
    pub(crate) fn answer(&self, call: &Call, age: Millis) -> Option<Result<Answer, Failure>> {
        if age < LATENCY {
            return None;
        }
        match &self.mode {
            Mode::Frozen => None,
            Mode::Down => Some(Err(Failure::Connection)),
            Mode::Throttling(retry_after) => Some(Err(Failure::Throttled {
                retry_after: *retry_after,
            })),
            _ => self.serve(call, age),
        }
    }

    fn serve(&self, call: &Call, age: Millis) -> Option<Result<Answer, Failure>> {
        match call {
            Call::Index => Some(Ok(self.served_index())),
            Call::Watch { after, wait } => {
                let lost = self.mode == Mode::LosesWatches;
                let ended = self.revision > *after || age >= *wait || self.mode == Mode::Hasty;
                (ended && !lost).then(|| Ok(self.served_index()))
            }
            Call::Part { team } => Some(self.part(team)),
            Call::Instances => Some(Ok(Answer::Instances(self.list.clone()))),
        }
    }

    fn served_index(&self) -> Answer {
        let index = self.stale.clone().unwrap_or_else(|| self.index());
        Answer::Index(index)
    }

    fn part(&self, team: &str) -> Result<Answer, Failure> {
        let part = self.stale_parts.get(team).or(self.parts.get(team));
        let part = part.ok_or(Failure::Status(404))?;
        let text = part.text.clone()?;
        Ok(Answer::Part(PartText {
            revision: part.revision,
            text_revision: self.revision,
            text,
        }))
    }
}
