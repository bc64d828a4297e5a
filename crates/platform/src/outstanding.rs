//! Calls that wait for their answer.

use crocushold_base::Millis;

use crate::call::Action;
use crate::call::Call;
use crate::call::CallId;

/// One call that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) id: CallId,
    pub(crate) deadline: Millis,
}

/// The calls that wait, few at a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outstanding {
    calls: Vec<Waiting>,
    next: u64,
}

impl Outstanding {
    /// Enters a call and returns the action that starts it.
    pub(crate) fn start(&mut self, call: Call, now: Millis, timeout: Millis) -> Action {
        let id = CallId(self.next);
        self.next += 1;
        self.calls.push(Waiting {
            id,
            deadline: now + timeout,
        });
        Action::Start { id, call }
    }

    /// Removes a call; `None` when it was cancelled before.
    pub(crate) fn take(&mut self, id: CallId) -> Option<Waiting> {
        let position = self.calls.iter().position(|c| c.id == id)?;
        Some(self.calls.swap_remove(position))
    }

    /// Removes the calls whose deadline has come.
    ///
    /// A frozen platform never answers and never closes: without deadlines of our own its one
    /// connection would be waited on for ever while the configuration grows old unnoticed.
    pub(crate) fn take_expired(&mut self, now: Millis) -> Vec<Waiting> {
        self.calls.extract_if(.., |c| c.deadline <= now).collect()
    }

    /// Removes all calls.
    pub(crate) fn take_all(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.calls)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.calls.iter()
    }

    /// The earliest deadline.
    pub(crate) fn deadline(&self) -> Millis {
        let deadlines = self.calls.iter().map(|c| c.deadline);
        deadlines.min().unwrap_or(Millis::MAX)
    }
}
