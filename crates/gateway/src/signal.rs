//! Waking tasks that wait for an event.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use futures::channel::oneshot;

/// Wakes the tasks that wait for an event.
#[derive(Default)]
pub(crate) struct Signal(Mutex<Vec<oneshot::Sender<()>>>);

impl Signal {
    /// Returns a receiver of the next event.
    pub(crate) fn subscribe(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting();
        waiting.retain(|sender| !sender.is_canceled());
        waiting.push(sender);
        receiver
    }

    /// Wakes all that wait.
    pub(crate) fn notify(&self) {
        for sender in std::mem::take(&mut *self.waiting()) {
            // The send fails if the wait was given up.
            let _ = sender.send(());
        }
    }

    fn waiting(&self) -> MutexGuard<'_, Vec<oneshot::Sender<()>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
