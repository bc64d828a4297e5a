//! The instance's side of a wait in the placer's line, as a state machine.

use crocushold_base::Millis;

/// Interval at which an instance asks again while its request waits. It replaces lost datagrams, and
/// shows each side that the other one is still there.
const ASK_INTERVAL: Millis = Millis(50);

/// Number of consecutive questions without a reply after which the instance chooses by itself.
const MAX_UNANSWERED: u32 = 3;

/// How long beyond its limit a request waits for the placer's decision. The placer decides at the
/// limit; the rest covers its lag and the way of the reply.
const DECISION_SLACK: Millis = Millis(200);

/// What the instance does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineWaitStep {
    /// Wait for a reply until this time.
    Listen(Millis),
    /// Ask again, with what is left of the limit.
    Ask(Millis),
    /// Leave the line and choose a server without the placer.
    GiveUp,
}

/// The wait of one request in the placer's line.
#[derive(Clone, Copy, Debug)]
pub struct LineWait {
    since: Millis,
    limit: Millis,
    asked: Millis,
    /// Number of questions since the last reply.
    unanswered: u32,
}

impl LineWait {
    /// Starts with the first question, for a request that may wait for `limit`.
    pub fn new(limit: Millis, now: Millis) -> LineWait {
        LineWait {
            since: now,
            limit,
            asked: now,
            unanswered: 0,
        }
    }

    /// Records that the placer says that the request waits.
    pub fn record_reply(&mut self) {
        self.unanswered = 0;
    }

    /// The next step at `now`.
    pub fn next(&mut self, now: Millis) -> LineWaitStep {
        let waited = now.since(self.since);
        if waited >= self.limit + DECISION_SLACK {
            return LineWaitStep::GiveUp;
        }
        let due = self.asked + ASK_INTERVAL;
        if now < due {
            return LineWaitStep::Listen(due);
        }
        if self.unanswered >= MAX_UNANSWERED {
            return LineWaitStep::GiveUp;
        }
        self.asked = now;
        self.unanswered += 1;
        LineWaitStep::Ask(self.limit.since(waited))
    }

    /// How long the request has waited.
    pub fn waited(&self, now: Millis) -> Millis {
        now.since(self.since)
    }
}
