//! Waiting for something rare beside something frequent.

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

/// A future that is polled only when it was woken itself.
///
/// A task polls all of its futures whichever was woken. The watch for a caller's hang-up would then
/// ask the socket, and register with the reactor again, at each token that passes: two system calls
/// a token for something that happens once.
pub(crate) struct Watch<F> {
    future: Pin<Box<F>>,
    alarm: Arc<Alarm>,
}

struct Alarm {
    woken: AtomicBool,
    task: AtomicWaker,
}

impl ArcWake for Alarm {
    fn wake_by_ref(alarm: &Arc<Alarm>) {
        alarm.woken.store(true, Ordering::Release);
        alarm.task.wake();
    }
}

impl<F: Future> Watch<F> {
    pub(crate) fn new(future: F) -> Watch<F> {
        Watch {
            future: Box::pin(future),
            alarm: Arc::new(Alarm {
                woken: AtomicBool::new(true),
                task: AtomicWaker::new(),
            }),
        }
    }
}

impl<F: Future> Future for Watch<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        // Registered before the look at the flag, so that a wake in between isn't lost.
        self.alarm.task.register(cx.waker());
        if !self.alarm.woken.swap(false, Ordering::AcqRel) {
            return Poll::Pending;
        }
        let alarm = self.alarm.clone();
        let waker = waker_ref(&alarm);
        let mut cx = Context::from_waker(&waker);
        self.future.as_mut().poll(&mut cx)
    }
}
