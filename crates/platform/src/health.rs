//! Whether the platform answers, and how long to leave it alone when it doesn't.

use crocushold_base::Millis;

use crate::call::Failure;
use crate::pace::Backoff;
use crate::pace::BackoffSettings;
use crate::pace::Jitter;
use crate::report::Report;

/// Health of one reader's calls.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    backoff: Backoff,
    jitter: Jitter,
    /// Until when failed calls are left alone.
    due: Millis,
    /// Until when the service asked for no calls at all.
    hold: Millis,
    /// When calls began to fail.
    failing_since: Option<Millis>,
}

impl Health {
    pub(crate) fn new(settings: BackoffSettings, seed: u64) -> Health {
        Health {
            backoff: Backoff::new(settings),
            jitter: Jitter::new(seed),
            due: Millis::ZERO,
            hold: Millis::ZERO,
            failing_since: None,
        }
    }

    /// When the next call may be made.
    pub(crate) fn ready_at(&self) -> Millis {
        self.due.max(self.hold)
    }

    /// Counts a failed call; reports the first one of an outage.
    pub(crate) fn fail(&mut self, failure: Failure, now: Millis) -> Option<Report> {
        self.throttle(&failure, now);
        self.back_off(now);
        if self.failing_since.is_some() {
            return None;
        }
        self.failing_since = Some(now);
        Some(Report::Unreachable { failure })
    }

    /// Notes how long the service wants to be left alone.
    fn throttle(&mut self, failure: &Failure, now: Millis) {
        let Failure::Throttled {
            retry_after: Some(asked),
        } = failure
        else {
            return;
        };
        let pause = self.backoff.retry_after(*asked, &mut self.jitter);
        self.hold = self.hold.max(now + pause);
    }

    /// Puts the next call off, longer each time.
    fn back_off(&mut self, now: Millis) {
        self.due = now + self.backoff.next_pause(&mut self.jitter);
    }

    /// Counts an answered call; reports the end of an outage.
    pub(crate) fn answered(&mut self, now: Millis) -> Option<Report> {
        let since = self.failing_since.take()?;
        Some(Report::Recovered {
            outage: now.since(since),
        })
    }

    /// Forgets past failures: the next call needn't wait.
    pub(crate) fn reset(&mut self) {
        self.backoff.reset();
        self.due = Millis::ZERO;
    }
}

/// Notices that the process slept through the time at which it was to be woken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Alarm {
    at: Millis,
    margin: Millis,
}

impl Alarm {
    pub(crate) fn new(margin: Millis) -> Alarm {
        Alarm {
            at: Millis::MAX,
            margin,
        }
    }

    /// How late it is, when that is more than a busy machine explains.
    ///
    /// A stopped process acts, when it continues, on lists and revisions of long ago, and on answers
    /// that waited in its sockets; both look fresh to it unless it looks at the clock first.
    pub(crate) fn late(&self, now: Millis) -> Option<Millis> {
        let late = now.since(self.at);
        (late > self.margin).then_some(late)
    }

    pub(crate) fn set(&mut self, at: Millis) {
        self.at = at;
    }

    pub(crate) fn at(&self) -> Millis {
        self.at
    }
}
