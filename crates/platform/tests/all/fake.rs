//! A fake platform.

use crocushold_base::Millis;
use crocushold_platform::Answer;
use crocushold_platform::Call;
use crocushold_platform::Failure;
use crocushold_platform::wire::InstanceList;

/// Time between a call and its answer.
pub(crate) const LATENCY: Millis = Millis(5);

/// The behaviour of the fake platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Answers calls.
    Up,
    /// Accepts calls and never answers.
    Hung,
    /// Refuses connections.
    Down,
    /// Answers 429, with this `Retry-After`.
    Throttling(Option<Millis>),
    /// Answers 500.
    Broken,
}

/// A platform that serves an instance list.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub(crate) mode: Mode,
    pub(crate) list: InstanceList,
}

impl Platform {
    /// Creates a platform that answers with this list.
    pub(crate) fn new(list: InstanceList) -> Platform {
        Platform {
            mode: Mode::Up,
            list,
        }
    }

    /// Returns the result of a call made `age` ago; `None` while it is pending.
    pub(crate) fn answer(&self, call: &Call, age: Millis) -> Option<Result<Answer, Failure>> {
        assert_eq!(*call, Call::Instances);
        if age < LATENCY {
            return None;
        }
        match &self.mode {
            Mode::Up => Some(Ok(Answer::Instances(self.list.clone()))),
            Mode::Hung => None,
            Mode::Down => Some(Err(Failure::Connection)),
            Mode::Throttling(retry_after) => Some(Err(Failure::Throttled {
                retry_after: *retry_after,
            })),
            Mode::Broken => Some(Err(Failure::Status(500))),
        }
    }
}

/// Creates a list of `count` backend servers.
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
