//! A fake platform.

use crocushold_base::Millis;
use crocushold_platform::Answer;
use crocushold_platform::Call;
use crocushold_platform::Failure;
use crocushold_platform::wire::InstanceList;

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
    /// Answers 500.
    Broken,
}

/// The instance list and the platform's behaviour.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub(crate) mode: Mode,
    pub(crate) list: InstanceList,
}

impl Platform {
    /// A platform that answers this list.
    pub(crate) fn new(list: InstanceList) -> Platform {
        Platform {
            mode: Mode::Up,
            list,
        }
    }

    /// What a call that was made `age` ago brings now; `None` while it waits.
    pub(crate) fn answer(&self, call: &Call, age: Millis) -> Option<Result<Answer, Failure>> {
        assert_eq!(*call, Call::Instances);
        if age < LATENCY {
            return None;
        }
        match &self.mode {
            Mode::Up => Some(Ok(Answer::Instances(self.list.clone()))),
            Mode::Frozen => None,
            Mode::Down => Some(Err(Failure::Connection)),
            Mode::Throttling(retry_after) => Some(Err(Failure::Throttled {
                retry_after: *retry_after,
            })),
            Mode::Broken => Some(Err(Failure::Status(500))),
        }
    }
}

/// A list of `count` backend servers.
pub(crate) fn list(revision: u64, count: usize) -> InstanceList {
    let entry = |n| {
        format!(
            r#"{{"id": "runner-{n}", "role": "server", "service": "model-fleet", "zone": "stgo-a",
               "address": "10.0.0.{n}:8000", "state": "live"}}"#
        )
    };
    let entries: Vec<String> = (1..=count).map(entry).collect();
    let entries = entries.join(",");
    let text = format!(r#"{{"revision": {revision}, "instances": [{entries}]}}"#);
    InstanceList::parse(&text).expect("readable")
}
