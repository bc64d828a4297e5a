//! Calls that have been started and not yet answered.

use crocushold_base::Millis;

use crate::call::Action;
use crate::call::Call;
use crate::call::CallId;

/// A call and its deadline.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub(crate) id: CallId,
    pub(crate) deadline: Millis,
}

/// The calls in progress. There are only a few at a time, so lookups scan a vector.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingCalls {
    calls: Vec<PendingCall>,
    next_id: u64,
}

impl PendingCalls {
    /// Adds a call and returns the action that starts it.
    pub(crate) fn start(&mut self, call: Call, now: Millis, timeout: Millis) -> Action {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.calls.push(PendingCall {
            id,
            deadline: now + timeout,
        });
        Action::Start { id, call }
    }

    /// Removes a call; `None` if it was cancelled or has expired.
    pub(crate) fn take(&mut self, id: CallId) -> Option<PendingCall> {
        let position = self.calls.iter().position(|c| c.id == id)?;
        Some(self.calls.swap_remove(position))
    }

    /// Removes and returns the calls whose deadline has passed.
    ///
    /// A hung platform neither answers nor closes the connection. Without a deadline the reader
    /// would wait on that connection forever while its data becomes stale unnoticed.
    pub(crate) fn take_expired(&mut self, now: Millis) -> Vec<PendingCall> {
        self.calls.extract_if(.., |c| c.deadline <= now).collect()
    }

    /// Removes and returns all calls.
    pub(crate) fn take_all(&mut self) -> Vec<PendingCall> {
        std::mem::take(&mut self.calls)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &PendingCall> {
        self.calls.iter()
    }

    /// Returns the earliest deadline, or [`Millis::MAX`] if there are no calls.
    pub(crate) fn earliest_deadline(&self) -> Millis {
        let deadlines = self.calls.iter().map(|c| c.deadline);
        deadlines.min().unwrap_or(Millis::MAX)
    }
}
