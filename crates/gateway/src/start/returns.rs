//! When callers that can't be served just after a start should return, as a state machine.
//!
//! A fixed time would bring all callers of an outage back in the same moment, and most of them after
//! the instance can serve or before it. The instance knows better: it knows since when it reads the
//! store, when it will try again, and since when it has a configuration but no servers.

use crocushold_base::Millis;

/// Shortest and longest time after which a caller is asked to return, before it is spread. The
/// shortest is the time in which a narrow link carries a large configuration.
const MIN_RETURN: Millis = Millis(200);
const MAX_RETURN: Millis = Millis(650);

/// Part of the time until the return over which callers are spread.
const SPREAD_DIVISOR: u64 = 2;

/// Number of groups of callers, by urgency, that return one after the other.
const GROUPS: u64 = 3;

/// Time after the first configuration in which servers that started with this instance may still be
/// announced. A service without servers after that has lost them.
const SETTLING: Millis = Millis::from_secs(3);

/// When a caller that can't be served yet should return, if that is so for `elapsed`.
///
/// What has lasted for some time is likely to last about as long again. `draw` spreads the callers
/// over half of that time, so that they don't return in the same moment.
pub fn return_delay(elapsed: Millis, draw: u64) -> Millis {
    let expected = expected(elapsed);
    Millis(expected.0 + draw % (expected.0 / SPREAD_DIVISOR))
}

fn expected(elapsed: Millis) -> Millis {
    elapsed.max(MIN_RETURN).min(MAX_RETURN)
}

/// What an instance has reached since its start, as far as returning callers depend on it. Its process
/// starts at time zero.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnTimes {
    /// When the store is asked again, after a failed read.
    next_read: Millis,
    /// When the first configuration was put in force.
    configured: Option<Millis>,
}

impl ReturnTimes {
    /// Records that the store couldn't be read, and is asked again at `next_read`.
    pub fn record_failed_read(&mut self, next_read: Millis) {
        self.next_read = next_read;
    }

    /// Records that a configuration was put in force.
    pub fn record_configured(&mut self, now: Millis) {
        self.configured.get_or_insert(now);
    }

    /// When a caller should return that finds no configuration: once the next read of the store can
    /// have ended. `draw` spreads the callers.
    pub fn unconfigured(&self, now: Millis, draw: u64) -> Millis {
        let read_end = self.next_read.max(now) + MIN_RETURN;
        return_delay(now.max(read_end.since(now)), draw)
    }

    /// When a caller should return whose service has no servers; `None` if that isn't due to the
    /// start. Callers with a higher `rank` are less urgent, and return after more urgent ones of the
    /// same moment. `draw` spreads those of a rank.
    pub fn unserved(&self, now: Millis, rank: u8, draw: u64) -> Option<Millis> {
        let elapsed = now.since(self.configured?);
        if elapsed >= SETTLING {
            return None;
        }
        let expected = expected(elapsed).0;
        let span = expected / SPREAD_DIVISOR / GROUPS;
        let group = u64::from(rank).min(GROUPS - 1);
        Some(Millis(expected + group * span + draw % span))
    }
}
