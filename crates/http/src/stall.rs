//! A timer that detects stalled streams.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;

use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Millis;

pub(crate) type Sleep = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// Expires when a wait lasts longer than `timeout`.
///
/// The time counts from the start of the wait, so a stream that isn't polled because of
/// backpressure doesn't count as stalled. The underlying timer is rearmed when it fires, not at
/// each wait, so a stream of many small chunks needs no timer operation for each chunk.
pub(crate) struct StallTimer {
    clock: Clock,
    timeout: Millis,
    waiting_since: Option<Millis>,
    sleep: Option<Sleep>,
}

impl StallTimer {
    pub(crate) fn new(timeout: Millis) -> StallTimer {
        StallTimer {
            clock: Clock::start(),
            timeout,
            waiting_since: None,
            sleep: None,
        }
    }

    /// Ends the current wait because of progress.
    pub(crate) fn reset(&mut self) {
        self.waiting_since = None;
    }

    /// Whether the wait has exceeded its timeout. If not, the task is woken when it may have.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> bool {
        let since = match self.waiting_since {
            Some(since) => since,
            None => *self.waiting_since.insert(self.clock.now()),
        };
        loop {
            let sleep = match &mut self.sleep {
                Some(sleep) => sleep,
                None => {
                    let remaining = self.timeout.since(self.clock.now().since(since));
                    self.sleep.insert(Box::pin(task::sleep(remaining.into())))
                }
            };
            if sleep.as_mut().poll(cx).is_pending() {
                return false;
            }
            self.sleep = None;
            if self.clock.now().since(since) >= self.timeout {
                return true;
            }
        }
    }
}
