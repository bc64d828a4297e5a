//! The progress of a job, shared between the batch and the response.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::task::Waker;

use futures::task::AtomicWaker;

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobState {
    /// Queued or running.
    Pending,
    /// All tokens are generated.
    Complete,
    /// Lost in a crash of the engine.
    Lost,
}

/// The progress of a job, without a lock because many tokens are generated per second.
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

    /// Registers `waker` for the next change. Call it before reading the progress, or else a change
    /// in between is missed.
    pub(super) fn register(&self, waker: &Waker) {
        self.waker.register(waker);
    }

    /// Counts a generated token. The caller wakes the task afterwards.
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
