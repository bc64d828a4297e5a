//! The refusals that this placer has just sent.

use std::collections::HashMap;
use std::collections::VecDeque;

use crocushold_base::Millis;

use super::message::PlacementVerdict;
use super::waiting::ABANDONED_AFTER;
use super::waiting::Asker;

/// Maximum number of refusals that are kept: more than a placer sends in the time, at the 2,000
/// requests per second that it is expected to handle at most.
const MAX_REFUSALS: usize = 4096;

/// Refusals of requests that may be asked for again, as the reply was lost or is on its way. Without
/// them such a request would join the line a second time.
#[derive(Debug, Default)]
pub(super) struct SentRefusals {
    verdicts: HashMap<Asker, PlacementVerdict>,
    /// In ascending order of the time until which each is kept.
    order: VecDeque<(Millis, Asker)>,
}

impl SentRefusals {
    /// Records a refusal.
    pub(super) fn record(&mut self, asker: Asker, verdict: PlacementVerdict, now: Millis) {
        self.expire(now);
        if self.verdicts.insert(asker, verdict).is_none() {
            self.order.push_back((now + ABANDONED_AFTER, asker));
        }
    }

    /// The refusal of a request, if it was sent a short time ago.
    pub(super) fn find(&mut self, asker: &Asker, now: Millis) -> Option<PlacementVerdict> {
        self.expire(now);
        self.verdicts.get(asker).copied()
    }

    fn expire(&mut self, now: Millis) {
        while let Some(&(until, asker)) = self.order.front()
            && (until <= now || self.order.len() >= MAX_REFUSALS)
        {
            self.order.pop_front();
            self.verdicts.remove(&asker);
        }
    }
}
