//! Detects that connections wait for processor time, and decides which are turned away.

use crocushold_base::Millis;

#[cfg(test)]
mod tests;

/// Time that a connection may wait for its task to start without any doubt that requests are served in time.
/// A processor quota holds a process for most of a tenth of a second.
const SHORT_WAIT: Millis = Millis(100);

/// How long all waits must have been longer for the queue to count as standing.
const STANDING_TIME: Millis = Millis(200);

/// Time after which a wait says nothing any more about later ones.
const MEMORY: Millis = Millis(1000);

/// Mean wait from which on the process is short of processor time.
const LONG_MEAN_WAIT: f64 = 40.0;

/// Expected time to answer from which on no further requests are read while the process is short of processor
/// time. Callers give up after a second, a part of which a connection spends before it is accepted.
const MAX_EXPECTED_TIME: Millis = Millis(400);

/// Time constant of the mean wait and of the rate of answers, in milliseconds.
const SMOOTHING: f64 = 300.0;

/// Whether accepted connections wait for processor time.
///
/// This is the rule of controlled delay (CoDel): a burst may wait, but where not even one connection in a while
/// starts soon, more come than can be served. Requests that are read then would be answered late, if at all, and
/// their callers couldn't turn to another instance any more.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Overload {
    /// When the first of the latest, uninterrupted series of long waits ended.
    standing_since: Option<Millis>,
    last: Millis,
    /// Moving average of the waits, in milliseconds.
    mean_wait: f64,
    /// Number of requests that were read and whose answers haven't begun.
    unanswered: u32,
    answers: AnswerRate,
}

/// The rate at which answers begin.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerRate {
    /// Number of recent answers, each weighted by its age.
    weight: f64,
    updated: Millis,
}

impl AnswerRate {
    fn record(&mut self, now: Millis) {
        self.weight = self.weight_at(now) + 1.0;
        self.updated = now;
    }

    fn weight_at(&self, now: Millis) -> f64 {
        self.weight * decay(now.since(self.updated))
    }

    /// Answers per millisecond.
    fn at(&self, now: Millis) -> f64 {
        self.weight_at(now) / SMOOTHING
    }
}

fn decay(elapsed: Millis) -> f64 {
    (-(elapsed.0 as f64) / SMOOTHING).exp()
}

impl Overload {
    /// Records that a connection has waited for `waited` when its task starts at `now`. Returns whether it is
    /// turned away.
    pub(crate) fn turns_away(&mut self, waited: Millis, now: Millis) -> bool {
        let elapsed = now.since(self.last);
        self.last = now;
        self.update_mean(waited, elapsed);
        let stands = self.has_standing_queue(waited, elapsed, now);
        stands || self.mean_wait > LONG_MEAN_WAIT && self.expected_time(now) > MAX_EXPECTED_TIME
    }

    /// Records that a request was read.
    pub(crate) fn request_read(&mut self) {
        self.unanswered += 1;
    }

    /// Records that the answer to a request has begun at `now`, or that its caller has left if `answered` is
    /// false.
    pub(crate) fn request_ended(&mut self, answered: bool, now: Millis) {
        self.unanswered = self.unanswered.saturating_sub(1);
        if answered {
            self.answers.record(now);
        }
    }

    /// The time until the answer of a request that is read now begins, if answers go on to begin at the
    /// present rate (Little's law).
    fn expected_time(&self, now: Millis) -> Millis {
        let time = f64::from(self.unanswered) / self.answers.at(now);
        if time.is_finite() {
            Millis(time as u64)
        } else {
            Millis::ZERO
        }
    }

    fn update_mean(&mut self, waited: Millis, elapsed: Millis) {
        if elapsed >= MEMORY {
            self.mean_wait = 0.0;
        }
        // Connections that are accepted together wait for the same reason and count little each, and a single
        // wait after a quiet time is no mean.
        let weight = 1.0 - decay(elapsed.max(Millis(1)).min(Millis(SMOOTHING as u64)));
        self.mean_wait += (waited.0 as f64 - self.mean_wait) * weight;
    }

    fn has_standing_queue(&mut self, waited: Millis, elapsed: Millis, now: Millis) -> bool {
        if waited <= SHORT_WAIT {
            self.standing_since = None;
            return false;
        }
        let is_recent = elapsed < MEMORY;
        let since = self.standing_since.filter(|_| is_recent).unwrap_or(now);
        self.standing_since = Some(since);
        now.since(since) >= STANDING_TIME
    }
}
