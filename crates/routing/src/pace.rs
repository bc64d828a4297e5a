//! Paces requests to servers that accept few of them per second.
//!
//! A server is paced while it is cold, or while its answers name a limit. A server that starts
//! during a burst has no queue, so it looks like the best choice to all instances at once. While it
//! is cold, more than a few requests a second end its process, with everything that runs there. A
//! server in need names how many requests per second it accepts.
//!
//! Either rate applies to all instances together, which share no state. So only one of them uses
//! it, the one that places requests for all, and it paces what it sends to such a server for itself
//! and for others. Instances that choose on their own skip these servers. When two instances place
//! at the same time, as after the loss of one, they send at twice the pace; the pace is low enough
//! for the server to withstand that.

use crocushold_base::Millis;

use crate::router::NoServer;
use crate::router::Reason;

/// The fraction of the accepted rate at which a server is sent requests.
const RATE_FRACTION: f64 = 0.75;

/// Lowest accepted rate, in requests per second. A server that gets no requests can't withdraw its
/// limit.
pub const MIN_PACED_RATE: f64 = 0.25;

/// The pace of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    /// When the server becomes warm.
    cold_until: Millis,
    /// Requests per second that the server accepts according to its answers; `None` if they name no
    /// limit.
    limit: Option<f64>,
    /// When the last request was sent; `None` if none was.
    last_sent: Option<Millis>,
}

impl Pace {
    /// Marks the server as cold until `until`.
    pub(crate) fn set_cold_until(&mut self, until: Millis) {
        self.cold_until = until;
    }

    /// Sets the limit that the server names. Requests that it got before don't count, so the first
    /// one must wait.
    pub(crate) fn set_limit(&mut self, limit: Option<f64>, now: Millis) {
        let lowered = match (limit, self.limit) {
            (Some(limit), Some(before)) => limit < before,
            (Some(_), None) => true,
            (None, _) => false,
        };
        self.limit = limit;
        if lowered {
            self.last_sent = Some(now);
        }
    }

    /// Forgets the limit, as that of an earlier process.
    pub(crate) fn clear_limit(&mut self) {
        self.limit = None;
    }

    /// Whether the server is paced. A cold server accepts `cold_rate` requests per second; `None`
    /// if it accepts as many as a warm one.
    pub(crate) fn is_paced(&self, cold_rate: Option<f64>, now: Millis) -> bool {
        self.rate(cold_rate, now).is_some()
    }

    /// Whether the server accepts a request now. `allow_paced` states that this instance may use
    /// the rate of paced servers.
    pub(crate) fn accepts(&self, cold_rate: Option<f64>, allow_paced: bool, now: Millis) -> bool {
        let Some(rate) = self.rate(cold_rate, now) else {
            return true;
        };
        let next_at = self.last_sent.map(|sent| sent + interval(rate));
        allow_paced && next_at.is_none_or(|next_at| now >= next_at)
    }

    /// Records that a request was sent.
    pub(crate) fn on_sent(&mut self, now: Millis) {
        self.last_sent = Some(now);
    }

    /// Why the server doesn't accept a request, and when to retry; `None` if it isn't paced.
    pub(crate) fn refusal(&self, cold_rate: Option<f64>, now: Millis) -> Option<NoServer> {
        let rate = self.rate(cold_rate, now)?;
        Some(match self.limit {
            Some(_) => NoServer {
                reason: Reason::Limited,
                retry_after: interval(rate),
            },
            None => NoServer {
                reason: Reason::Cold,
                retry_after: self.cold_until.since(now),
            },
        })
    }

    /// Requests per second that the server accepts now; `None` if it isn't paced.
    fn rate(&self, cold_rate: Option<f64>, now: Millis) -> Option<f64> {
        let cold_rate = cold_rate.filter(|_| now < self.cold_until);
        match (cold_rate, self.limit) {
            (Some(cold_rate), Some(limit)) => Some(cold_rate.min(limit)),
            (cold_rate, limit) => cold_rate.or(limit),
        }
    }
}

/// Time between two requests to a server that accepts `rate` requests per second.
fn interval(rate: f64) -> Millis {
    let rate = rate.max(MIN_PACED_RATE) * RATE_FRACTION;
    Millis((Millis::PER_SECOND as f64 / rate).ceil() as u64)
}
