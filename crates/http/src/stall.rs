//! A timer for streams that must not stand still.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;

use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Millis;

type Sleep = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// Expires when no progress was noted for a span.
///
/// A progress note only stores the time. The timer underneath is armed again when it fires, not on
/// each note, so a stream of many small chunks costs no timer operation a chunk.
pub(crate) struct StallTimer {
    clock: Clock,
    span: Millis,
    last: Millis,
    sleep: Option<Sleep>,
}

impl StallTimer {
    pub(crate) fn new(span: Millis) -> StallTimer {
        StallTimer {
            clock: Clock::start(),
            span,
            last: Millis::ZERO,
            sleep: None,
        }
    }

    /// Notes progress.
    pub(crate) fn touch(&mut self) {
        self.last = self.clock.now();
    }

    /// Tells whether the stream stalled; otherwise the task is woken when it might have.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> bool {
        loop {
            let sleep = match &mut self.sleep {
                Some(sleep) => sleep,
                None => {
                    let rest = self.span.since(self.clock.now().since(self.last));
                    self.sleep.insert(Box::pin(task::sleep(rest.into())))
                }
            };
            if sleep.as_mut().poll(cx).is_pending() {
                return false;
            }
            self.sleep = None;
            if self.clock.now().since(self.last) >= self.span {
                return true;
            }
        }
    }
}
