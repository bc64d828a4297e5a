//! A gate that blocks all work while it is closed, to simulate a stopped process.

use std::sync::Mutex;

use async_std::net::TcpStream;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Either;

use crate::port;

/// A gate that is initially open.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    closed: bool,
    waiters: Vec<oneshot::Sender<()>>,
}

impl Gate {
    /// Closes or opens the gate; opening it wakes all waiting tasks.
    pub(crate) fn set_closed(&self, closed: bool) {
        let mut state = port::lock(&self.state);
        state.closed = closed;
        if !closed {
            for waiter in state.waiters.drain(..) {
                let _ = waiter.send(());
            }
        }
    }

    /// Waits until the gate is open.
    pub(crate) async fn wait_open(&self) {
        while let Some(opened) = self.waiter() {
            let _ = opened.await;
        }
    }

    /// Waits until the gate is open; returns false if the client disconnects first.
    pub(crate) async fn wait_open_for(&self, conn: &TcpStream) -> bool {
        let disconnected = port::client_disconnected(conn.clone());
        let selected = futures::future::select(self.wait_open().boxed(), disconnected.boxed());
        matches!(selected.await, Either::Left(_))
    }

    fn waiter(&self) -> Option<oneshot::Receiver<()>> {
        let mut state = port::lock(&self.state);
        if !state.closed {
            return None;
        }
        state.waiters.retain(|waiter| !waiter.is_canceled());
        let (waiter, opened) = oneshot::channel();
        state.waiters.push(waiter);
        Some(opened)
    }
}
