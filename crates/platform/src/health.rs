//! Tracks whether the platform answers and when to retry after failures.

use crocushold_base::Millis;

use crate::backoff::Backoff;
use crate::backoff::BackoffSettings;
use crate::backoff::Jitter;
use crate::call::Failure;
use crate::report::Report;

/// The outcome of a reader's recent calls and the time of its next retry.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    backoff: Backoff,
    jitter: Jitter,
    /// End of the backoff after a failed call.
    retry_at: Millis,
    /// End of the delay given in `Retry-After`.
    throttled_until: Millis,
    /// Start of the current outage.
    failing_since: Option<Millis>,
}

impl Health {
    pub(crate) fn new(settings: BackoffSettings, seed: u64) -> Health {
        Health {
            backoff: Backoff::new(settings),
            jitter: Jitter::new(seed),
            retry_at: Millis::ZERO,
            throttled_until: Millis::ZERO,
            failing_since: None,
        }
    }

    /// Returns the earliest time of the next call.
    pub(crate) fn ready_at(&self) -> Millis {
        self.retry_at.max(self.throttled_until)
    }

    /// Records a failed call and returns a report if it is the first one of an outage.
    pub(crate) fn record_failure(&mut self, failure: Failure, now: Millis) -> Option<Report> {
        self.apply_retry_after(&failure, now);
        self.schedule_retry(now);
        if self.failing_since.is_some() {
            return None;
        }
        self.failing_since = Some(now);
        Some(Report::Unreachable { failure })
    }

    /// Delays the next call by the `Retry-After` of a throttled one.
    fn apply_retry_after(&mut self, failure: &Failure, now: Millis) {
        let Failure::Throttled {
            retry_after: Some(asked),
        } = failure
        else {
            return;
        };
        let pause = self.backoff.retry_after(*asked, &mut self.jitter);
        self.throttled_until = self.throttled_until.max(now + pause);
    }

    /// Delays the next call by an exponentially growing pause.
    fn schedule_retry(&mut self, now: Millis) {
        self.retry_at = now + self.backoff.next_pause(&mut self.jitter);
    }

    /// Records an answered call and returns a report if it ends an outage.
    pub(crate) fn record_success(&mut self, now: Millis) -> Option<Report> {
        let since = self.failing_since.take()?;
        Some(Report::Recovered {
            outage: now.since(since),
        })
    }

    /// Resets the backoff, so that the next call isn't delayed by it.
    pub(crate) fn clear_backoff(&mut self) {
        self.backoff.reset();
        self.retry_at = Millis::ZERO;
    }
}

/// The time of the next wake-up, to detect that the process was suspended past it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WakeDeadline {
    at: Millis,
    threshold: Millis,
}

impl WakeDeadline {
    pub(crate) fn new(threshold: Millis) -> WakeDeadline {
        WakeDeadline {
            at: Millis::MAX,
            threshold,
        }
    }

    /// Returns how late the wake-up is, if that exceeds what load on the machine explains.
    ///
    /// A process that resumes after a suspension would otherwise treat as current the lists and
    /// revisions read before it, and the answers that were left in its socket buffers.
    pub(crate) fn lateness(&self, now: Millis) -> Option<Millis> {
        let late = now.since(self.at);
        (late > self.threshold).then_some(late)
    }

    pub(crate) fn set(&mut self, at: Millis) {
        self.at = at;
    }

    pub(crate) fn at(&self) -> Millis {
        self.at
    }
}
