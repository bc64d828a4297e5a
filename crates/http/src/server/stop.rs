//! The signal of a graceful stop.

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;

/// A signal that is given once and seen by every clone.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl StopSignal {
    /// Makes a signal that isn't given yet.
    pub fn new() -> StopSignal {
        let (sender, receiver) = bounded(1);
        StopSignal { sender, receiver }
    }

    /// Gives the signal.
    pub fn stop(&self) {
        self.sender.close();
    }

    /// Whether the signal was given.
    pub fn is_stopped(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits for the signal.
    pub async fn wait(&self) {
        // Nothing is ever sent, so this ends with the error of the closed channel.
        let _ = self.receiver.recv().await;
    }
}

impl Default for StopSignal {
    fn default() -> StopSignal {
        StopSignal::new()
    }
}
