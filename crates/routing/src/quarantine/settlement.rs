//! How a request waits for a quarantine to settle.

use crocushold_base::Millis;

use super::Quarantine;
use super::RequestContent;

/// Interval at which a waiting request is checked.
const CHECK_INTERVAL: Millis = Millis(20);

/// The part of its remaining time that a request may wait.
const WAIT_DIVISOR: u64 = 2;

/// Minimum `Retry-After` of a refusal that isn't settled.
const MIN_RETRY_AFTER: Millis = Millis(500);

/// Whether a request may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// It may be sent.
    Open,
    /// It may be sent, to find out whether its content ends servers.
    Trial,
    /// It is checked again after this time.
    Wait(Millis),
    /// It is refused.
    Refused {
        /// Time until it may be retried.
        retry_after: Millis,
    },
}

/// The wait of one request for a quarantine to settle, and its trial.
///
/// Until a quarantine is settled another instance may say that it has served the request, which ends the
/// quarantine. A request that was refused at once would be told to stay away for minutes.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettlementWait {
    until: Option<Millis>,
    /// Whether this request is the trial of its content.
    on_trial: bool,
}

impl SettlementWait {
    /// Records that an attempt may have run without an answer, so that there must be no other.
    pub fn end_trial(&mut self) {
        self.on_trial = false;
    }

    /// Checks whether the request, which has to end by `deadline`, may be sent now.
    pub fn check(
        &mut self,
        quarantine: &mut Quarantine,
        content: &RequestContent,
        deadline: Millis,
        now: Millis,
    ) -> Passage {
        let Err(held) = quarantine.admit(content, now) else {
            self.until = None;
            return Passage::Open;
        };
        // An attempt that wasn't run is followed by another one.
        if self.on_trial && quarantine.may_be_tried(content, now) {
            return Passage::Open;
        }
        let settles_in = quarantine.settles_in(content, now);
        let longest = Millis(deadline.since(now).0 / WAIT_DIVISOR);
        let until = *self.until.get_or_insert(now + settles_in.min(longest));
        if now < until {
            return Passage::Wait(CHECK_INTERVAL.min(until.since(now)));
        }
        if settles_in == Millis::ZERO && quarantine.start_trial(content, now) {
            self.on_trial = true;
            return Passage::Trial;
        }
        let retry_after = if settles_in == Millis::ZERO {
            held.retry_after
        } else {
            settles_in.max(MIN_RETRY_AFTER)
        };
        Passage::Refused { retry_after }
    }
}
