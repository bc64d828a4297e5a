//! The deadline of an answer whose caller doesn't read it.

use std::task::Context;

use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Millis;

use crate::stall::Sleep;

/// Time for a caller to read on after the deadline has been noticed. A process that was suspended notices it
/// before it has written what is at hand.
const GRACE: Millis = Millis::from_secs(1);

/// Expires a moment after the deadline of an answer.
///
/// The body of an answer knows its deadline, but isn't polled while a caller doesn't read.
pub(crate) struct Overdue {
    clock: Clock,
    deadline: Millis,
    /// Whether the deadline was noticed.
    in_grace: bool,
    /// Armed at the first wait, so that a caller that reads costs no timer.
    sleep: Option<Sleep>,
}

impl Overdue {
    pub(crate) fn after(span: Millis) -> Overdue {
        let clock = Clock::start();
        Overdue {
            deadline: clock.now() + span,
            clock,
            in_grace: false,
            sleep: None,
        }
    }

    /// Whether the deadline and the time after it have passed. If not, the task is woken when they may have.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> bool {
        loop {
            let rest = self.deadline.since(self.clock.now());
            let sleep = self
                .sleep
                .get_or_insert_with(|| Box::pin(task::sleep(rest.into())));
            if sleep.as_mut().poll(cx).is_pending() {
                return false;
            }
            if self.in_grace {
                return true;
            }
            self.in_grace = true;
            self.sleep = Some(Box::pin(task::sleep(GRACE.into())));
        }
    }
}
