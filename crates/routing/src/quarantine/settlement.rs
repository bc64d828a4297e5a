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

/// The wait of one request for the check of a server that cut it and for a quarantine to settle, and its trial.
///
/// Until a quarantine is settled another instance may say that it has served the request, which ends the
/// quarantine. A request that was refused at once would be told to stay away for minutes.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettlementWait {
    until: Option<Millis>,
    /// Until when it waits for a check whether a server that cut it has ended.
    check_until: Option<Millis>,
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
        let longest = Millis(deadline.since(now).0 / WAIT_DIVISOR);
        let Err(held) = quarantine.admit(content, now) else {
            self.until = None;
            return self.wait_for_check(quarantine, content, longest, now);
        };
        // An attempt that wasn't run is followed by another one.
        if self.on_trial && quarantine.may_be_tried(content, now) {
            return Passage::Open;
        }
        let settles_in = quarantine.settles_in(content, now);
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

    /// A caller sends a request again within milliseconds after its answer was cut, and the check whether the
    /// server has ended takes as long. Sent before its result, the request could end one server more.
    fn wait_for_check(
        &mut self,
        quarantine: &Quarantine,
        content: &RequestContent,
        longest: Millis,
        now: Millis,
    ) -> Passage {
        if !quarantine.is_being_checked(content.request, now) {
            self.check_until = None;
            return Passage::Open;
        }
        let longest = quarantine.settings.check.min(longest);
        let until = *self.check_until.get_or_insert(now + longest);
        if now >= until {
            return Passage::Open;
        }
        Passage::Wait(CHECK_INTERVAL.min(until.since(now)))
    }
}
