//! Polling a future only when it was woken itself.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use futures::task::ArcWake;
use futures::task::AtomicWaker;
use futures::task::waker_ref;

/// A future that is polled only when its own waker was called.
///
/// A task polls all of its futures whichever of them was woken. The future that waits for a
/// caller's disconnect would then poll the socket and register with the reactor for each relayed
/// token: two system calls per token for an event that happens once.
pub(crate) struct PollOnWake<F> {
    future: Pin<Box<F>>,
    flag: Arc<WakeFlag>,
}

struct WakeFlag {
    woken: AtomicBool,
    task: AtomicWaker,
}

impl ArcWake for WakeFlag {
    fn wake_by_ref(flag: &Arc<WakeFlag>) {
        flag.woken.store(true, Ordering::Release);
        flag.task.wake();
    }
}

impl<F: Future> PollOnWake<F> {
    pub(crate) fn new(future: F) -> PollOnWake<F> {
        PollOnWake {
            future: Box::pin(future),
            flag: Arc::new(WakeFlag {
                woken: AtomicBool::new(true),
                task: AtomicWaker::new(),
            }),
        }
    }
}

impl<F: Future> Future for PollOnWake<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        // The waker is registered before the flag is read, so that a wake in between isn't lost.
        self.flag.task.register(cx.waker());
        if !self.flag.woken.swap(false, Ordering::AcqRel) {
            return Poll::Pending;
        }
        let flag = self.flag.clone();
        let waker = waker_ref(&flag);
        let mut cx = Context::from_waker(&waker);
        self.future.as_mut().poll(&mut cx)
    }
}
