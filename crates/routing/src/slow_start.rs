//! Slow start: limits the rate of requests to a cold server.
//!
//! A server that starts during a burst has no queue, so it looks like the best choice to all
//! instances at once. While it is cold, more than a few requests a second end its process, with
//! everything that runs there.
//!
//! The rate applies to all instances together, which share no state. So only one of them uses it,
//! the one that places requests for all, and it paces what it sends to a cold server for itself and
//! for others. Instances that choose on their own skip cold servers. When two instances place at
//! the same time, as after the loss of one, they send at twice the pace; the pace is low enough for
//! the server to withstand that.

use crocushold_base::Millis;

/// The fraction of the tolerated rate at which a cold server is sent requests.
const RATE_FRACTION: f64 = 0.75;

/// The slow start of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowStart {
    /// When the server becomes warm.
    cold_until: Millis,
    /// When the server accepts the next request.
    next_at: Millis,
}

impl SlowStart {
    /// Marks the server as cold until `until`.
    pub(crate) fn set_cold_until(&mut self, until: Millis) {
        self.cold_until = until;
    }

    /// Returns how much longer the server is cold; `None` if it is warm.
    pub(crate) fn remaining(&self, now: Millis) -> Option<Millis> {
        (now < self.cold_until).then(|| self.cold_until.since(now))
    }

    /// Returns whether the server accepts a request now. `allow_cold` states that this instance may
    /// use the cold rate.
    pub(crate) fn accepts(&self, allow_cold: bool, now: Millis) -> bool {
        now >= self.cold_until || (allow_cold && now >= self.next_at)
    }

    /// Records that a request was sent. The server tolerates `rate` requests per second.
    pub(crate) fn on_sent(&mut self, rate: f64, now: Millis) {
        if now < self.cold_until {
            let pause = Millis::PER_SECOND as f64 / (rate * RATE_FRACTION);
            self.next_at = now + Millis(pause.ceil() as u64);
        }
    }
}
