//! The signal that starts a graceful shutdown.

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;

/// A one-time signal that is shared by all clones.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl StopSignal {
    /// Creates a signal that isn't set.
    pub fn new() -> StopSignal {
        let (sender, receiver) = bounded(1);
        StopSignal { sender, receiver }
    }

    /// Sets the signal.
    pub fn stop(&self) {
        self.sender.close();
    }

    /// Whether the signal is set.
    pub fn is_stopped(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the signal is set.
    pub async fn wait(&self) {
        // Nothing is sent on this channel, so this returns with an error once it is closed.
        let _ = self.receiver.recv().await;
    }
}

impl Default for StopSignal {
    fn default() -> StopSignal {
        StopSignal::new()
    }
}
