//! A gate that holds everything up while it is shut, like a process that was stopped.

use std::sync::Mutex;

use async_std::net::TcpStream;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Either;

use crate::port;

/// Open at first.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    shut: bool,
    waiters: Vec<oneshot::Sender<()>>,
}

impl Gate {
    /// Shuts or opens the gate; what waits before it goes on once it opens.
    pub(crate) fn set_shut(&self, shut: bool) {
        let mut state = port::lock(&self.state);
        state.shut = shut;
        if !shut {
            for waiter in state.waiters.drain(..) {
                let _ = waiter.send(());
            }
        }
    }

    /// Waits for as long as the gate is shut.
    pub(crate) async fn pass(&self) {
        while let Some(opened) = self.wait() {
            let _ = opened.await;
        }
    }

    /// Waits likewise on behalf of a caller; false when the caller left meanwhile.
    pub(crate) async fn pass_for(&self, conn: &TcpStream) -> bool {
        let gone = port::hang_up(conn.clone());
        let passed = futures::future::select(self.pass().boxed(), gone.boxed());
        matches!(passed.await, Either::Left(_))
    }

    fn wait(&self) -> Option<oneshot::Receiver<()>> {
        let mut state = port::lock(&self.state);
        if !state.shut {
            return None;
        }
        state.waiters.retain(|waiter| !waiter.is_canceled());
        let (waiter, opened) = oneshot::channel();
        state.waiters.push(waiter);
        Some(opened)
    }
}
