//! Trials of quarantined requests.
//!
//! Two servers may end for other reasons one after the other, under a request that was never served before.
//! Nothing else can clear it then, as nobody may send it. One instance therefore sends it once more, some
//! time after the ends: its answer clears the request everywhere, and a third end leaves no doubt.

use crocushold_base::Millis;
use twox_hash::XxHash3_64;

use super::Fingerprint;
use super::Quarantine;
use super::RequestContent;
use super::signed;

/// The live instances, each by a hash that is the same at all of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Instances {
    me: u64,
    others: Vec<u64>,
}

impl Instances {
    /// Whether the trial of a request is this instance's, by rendezvous hashing.
    fn owns(&self, request: Fingerprint) -> bool {
        let weight = |instance| XxHash3_64::oneshot_with_seed(instance, &request.0.to_le_bytes());
        let mine = weight(self.me);
        self.others.iter().all(|other| weight(*other) <= mine)
    }
}

impl Quarantine {
    /// Sets the live instances, each by a hash that is the same at all of them. Without others, all trials are
    /// this instance's.
    pub fn set_instances(&mut self, me: u64, others: Vec<u64>) {
        self.instances = Instances { me, others };
    }

    /// Starts the trial of a request if one is due and is this instance's. Until it has ended, or could have,
    /// there is no other.
    pub(super) fn start_trial(&mut self, content: &RequestContent, now: Millis) -> bool {
        if !self.may_be_tried(content, now) || !self.instances.owns(content.request) {
            return false;
        }
        let interval = signed(self.settings.trial_interval());
        let record = self.requests.get_mut(content.request);
        record.is_some_and(|record| record.start_trial(interval, signed(now)))
    }

    /// Whether the request is quarantined by no more ends than are needed for that. Another one has shown that
    /// a trial would only end a server more.
    pub(super) fn may_be_tried(&self, content: &RequestContent, now: Millis) -> bool {
        let refusal = self.check_request(content.request, now);
        let record = self.requests.get(content.request);
        refusal.is_some()
            && record.is_some_and(|record| record.consecutive_ends() <= self.settings.limit)
            && self.check_parts(content, now).is_none()
    }
}
