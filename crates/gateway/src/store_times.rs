//! The time budget for reading the store.
//!
//! The platform sets how soon a change must be in force and how long a server that has left may
//! still get requests. Both hold for an instance whose contact to the store has been undisturbed for
//! the stable window. The waits, time limits and pauses between calls are derived from these three,
//! because what counts is the sum of those that follow each other, not each by itself.

use crocushold_base::Millis;
use crocushold_platform::BackoffSettings;

use crate::directory::RETURN_GRACE;
use crate::instance::Settings;
use crate::source::WatchTimes;

#[cfg(test)]
mod tests;

/// Limit on the time until the answer of a watch begins, beyond its wait: a hundred times the
/// store's usual latency.
const ANSWER_MARGIN: Millis = Millis(400);

/// Part of the stable window that is left out of a watch, so that a silent connection is detected
/// within the window. It covers the timeout of the answer and a new connection.
const SILENCE_MARGIN: Millis = Millis(600);

/// Shortest wait of a watch. A shorter one would amount to polling.
const MIN_WATCH_WAIT: Millis = Millis(1000);

/// Divisor of the time in which a change must be in force. It gives the wait of a watch for changes
/// that are known to exist; a connection that is silent as well must be noticed in time for another
/// call.
const LAG_WAIT_DIVISOR: u64 = 3;

/// Divisor of the time in which a change must be in force, or a draining server must get no more
/// requests. It gives the pause between watches after changes. The rest of the time is for one
/// failed call and its retry, and for requests already in flight.
const BATCH_PAUSE_DIVISOR: u64 = 3;

/// Longest first pause after a failed call, and shortest limit on all pauses.
const MIN_PAUSE: Millis = Millis(100);

/// Longest pause after a failed call. A change must be in force two seconds after the store
/// accepted it, also if the store has just recovered.
const MAX_PAUSE: Millis = Millis(800);

/// Longest `Retry-After` that is honoured, for the same reason as [`MAX_PAUSE`].
const MAX_RETRY_AFTER: Millis = Millis(1000);

/// Time for the call that succeeds after a pause.
const CALL_MARGIN: Millis = Millis(200);

/// Waits, time limits and pauses of the calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoreTimes {
    /// Times of a watch for changes.
    pub(crate) watch: WatchTimes,
    /// Times of a watch for changes that other instances know of, or after a failed call.
    pub(crate) lag_watch: WatchTimes,
    /// Pause between two watches after changes, to batch them.
    pub(crate) batch_pause: Millis,
    /// Pauses after failed calls.
    pub(crate) backoff: BackoffSettings,
}

impl StoreTimes {
    pub(crate) fn new(settings: &Settings) -> StoreTimes {
        let bound = settings.apply_bound.min(settings.drain_bound);
        let watch_wait = settings.stable_window.since(SILENCE_MARGIN);
        // Servers whose entries vanished in an outage are used for the grace period after it. It
        // must end with the stable window of an instance that alone was turned away.
        let pause = settings.stable_window.since(RETURN_GRACE + CALL_MARGIN);
        let max_retry_after = pause.since(MIN_PAUSE).min(MAX_RETRY_AFTER);
        StoreTimes {
            watch: watch_times(watch_wait.max(MIN_WATCH_WAIT)),
            lag_watch: watch_times(Millis(bound.0 / LAG_WAIT_DIVISOR)),
            batch_pause: Millis(bound.0 / BATCH_PAUSE_DIVISOR),
            backoff: BackoffSettings {
                initial_pause: MIN_PAUSE,
                max_pause: pause.min(MAX_PAUSE).max(MIN_PAUSE),
                max_retry_after: max_retry_after.max(MIN_PAUSE),
            },
        }
    }

    /// Longest time between two answers of a store that is in contact.
    pub(crate) fn longest_silence(&self) -> Millis {
        self.batch_pause + self.watch.timeout
    }
}

fn watch_times(wait: Millis) -> WatchTimes {
    WatchTimes {
        wait,
        timeout: wait + ANSWER_MARGIN,
    }
}
