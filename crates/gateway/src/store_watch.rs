//! The watch of the store, shared by the task that follows the store and the gossip task.

use std::future::Future;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use futures::channel::oneshot;
use futures::future::Either;
use futures::future::select;

use crate::era::Revision;

#[derive(Default)]
struct State {
    /// The newest revision of a change that was read.
    last_change: Revision,
    /// The running watch: the revision after which it waits, and the sender that cancels it.
    active: Option<(Revision, oneshot::Sender<()>)>,
}

/// How far the store was read, and the running watch.
#[derive(Default)]
pub(crate) struct StoreWatch(Mutex<State>);

impl StoreWatch {
    /// Records that a change was read at `revision`.
    pub(crate) fn observe(&self, revision: Revision) {
        let mut state = self.lock();
        state.last_change = state.last_change.max(revision);
    }

    /// The newest revision of a change that was read.
    pub(crate) fn last_change(&self) -> Revision {
        self.lock().last_change
    }

    /// The revision after which the running watch waits, if there is one.
    pub(crate) fn watched_revision(&self) -> Option<Revision> {
        self.lock().active.as_ref().map(|(at, _)| *at)
    }

    /// Cancels the running watch.
    pub(crate) fn cancel(&self) {
        if let Some((_, active)) = self.lock().active.take() {
            // The send fails if the watch ended at the same moment.
            let _ = active.send(());
        }
    }

    /// Runs `watch`, which waits for changes after `at`. Returns `None` if it was cancelled.
    ///
    /// Only the wait may be cancelled. An answer that has begun must be received to its end:
    /// if each newer change cancelled it, an instance with a narrow link would never learn of any.
    pub(crate) async fn run<T>(&self, at: Revision, watch: impl Future<Output = T>) -> Option<T> {
        let (sender, cancelled) = oneshot::channel();
        self.lock().active = Some((at, sender));
        let watch = std::pin::pin!(watch);
        let result = match select(watch, cancelled).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        };
        self.lock().active = None;
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
