//! How far a job is, shared between the batch and the answer that relays it.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::task::Waker;

use futures::task::AtomicWaker;

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobState {
    /// It is queued or running.
    Pending,
    /// All of its tokens are there.
    Complete,
    /// The engine crashed.
    Lost,
}

/// Tokens that were generated, counted without a lock: there are many a second.
#[derive(Debug, Default)]
pub(super) struct Progress {
    tokens: AtomicU32,
    state: AtomicU8,
    waker: AtomicWaker,
}

impl Progress {
    pub(super) fn tokens(&self) -> u32 {
        self.tokens.load(Ordering::Acquire)
    }

    pub(super) fn state(&self) -> JobState {
        match self.state.load(Ordering::Acquire) {
            0 => JobState::Pending,
            1 => JobState::Complete,
            _ => JobState::Lost,
        }
    }

    /// Wakes `waker` at the next change. Register first, then look: a change in between isn't lost.
    pub(super) fn register(&self, waker: &Waker) {
        self.waker.register(waker);
    }

    /// One more token, perhaps the last; the caller wakes afterwards.
    pub(super) fn advance(&self) {
        self.tokens.fetch_add(1, Ordering::Release);
    }

    pub(super) fn finish(&self, state: JobState) {
        let code = match state {
            JobState::Pending => 0,
            JobState::Complete => 1,
            JobState::Lost => 2,
        };
        self.state.store(code, Ordering::Release);
    }

    pub(super) fn wake(&self) {
        self.waker.wake();
    }
}
