//! The choice of a server for a request of this instance.

use crocushold_base::Millis;
use crocushold_routing as routing;
use crocushold_routing::NoServer;

use super::Exchange;
use super::Failure;
use super::MIN_RETRY_AFTER;
use crate::fleet::Choice;
use crate::placing::PlacementError;
use crate::placing::PlacementQuery;
use crate::placing::PlacementVerdict;
use crate::refusal::Reason;
use crate::refusal::Refusal;

impl Exchange<'_> {
    /// Chooses a server: by the placer, or by this instance.
    pub(super) async fn choose(&mut self) -> Result<Choice, Failure> {
        let now = self.shared.clock.now();
        if now >= self.job.deadline {
            return Err(Failure::Refused(self.final_refusal(Reason::Overdue, None)));
        }
        self.check_quarantine(now)?;
        let asked = self.ask_placer(now).await;
        let picked = match asked {
            Some(asked) => asked,
            None => {
                let now = self.shared.clock.now();
                let mut fleet = self.shared.fleet();
                fleet.pick(&self.job.need, &self.tried, now)
            }
        };
        let choice = picked.map_err(|none| Failure::Refused(self.no_server(&none)))?;
        self.expected_wait = choice.wait;
        self.source = choice.source;
        self.expected_prefill = choice.read;
        self.placer = choice.placement_id.map(|placement_id| placement_id.placer);
        Ok(choice)
    }

    /// Refuses a request under which servers have ended. Each further attempt would end another
    /// server with all requests that run there.
    fn check_quarantine(&self, now: Millis) -> Result<(), Failure> {
        let admitted = self.shared.quarantine().admit(self.job.content, now);
        admitted.map_err(|held| {
            Failure::Refused(self.final_refusal(Reason::Quarantined, Some(held.retry_after)))
        })
    }

    /// Asks the placer for a server. Returns `None` if this instance has to choose itself: the
    /// request is neither for an engine nor for a service with paced servers, there is no reply, or
    /// the reply can't be used here.
    async fn ask_placer(&self, now: Millis) -> Option<Result<Choice, NoServer>> {
        let need = &self.job.need;
        if need.unique_tokens == 0 && !self.shared.fleet().needs_placer(&need.service, now) {
            return None;
        }
        let (tried, resting) = {
            let mut fleet = self.shared.fleet();
            (
                fleet.excluded_hashes(need, &self.tried, now),
                fleet.resting(&need.service, now),
            )
        };
        let query = PlacementQuery {
            need,
            zone: &self.shared.settings.zone,
            remaining: self.job.deadline.since(now),
            tried,
            resting,
            now,
        };
        let verdict = self.shared.placer.ask(query).await;
        let metrics = &self.shared.metrics;
        let (placement_id, verdict) = match verdict {
            Ok(verdict) => verdict,
            Err(PlacementError::NoPlacer) => return None,
            Err(PlacementError::Timeout) => {
                metrics.count_placement("silent");
                return None;
            }
        };
        let now = self.shared.clock.now();
        match verdict {
            PlacementVerdict::Placed(placement) => {
                let adopted = self
                    .shared
                    .fleet()
                    .adopt(need, &placement, &self.tried, now);
                metrics.count_placement(if adopted.is_some() {
                    "placed"
                } else {
                    "not-taken"
                });
                if adopted.is_none() {
                    self.shared.placer.release(placement_id);
                }
                adopted.map(|mut choice| {
                    choice.placement_id = Some(placement_id);
                    Ok(choice)
                })
            }
            PlacementVerdict::Late { wait, retry_delay } => {
                metrics.count_placement("late");
                Some(Err(NoServer {
                    reason: routing::Reason::Late { wait },
                    retry_after: retry_delay,
                }))
            }
            PlacementVerdict::Unable => {
                metrics.count_placement("unable");
                None
            }
        }
    }

    fn no_server(&mut self, none: &NoServer) -> Refusal {
        let reason = match none.reason {
            routing::Reason::Busy => Reason::Busy,
            routing::Reason::Late { wait } => {
                self.expected_wait = wait;
                Reason::Late
            }
            routing::Reason::Cold => Reason::Cold,
            routing::Reason::Limited => Reason::Limited,
            routing::Reason::Resting => Reason::Resting,
            routing::Reason::Region => Reason::Region,
            routing::Reason::Tried => Reason::Rejected,
            _ => Reason::NoServer,
        };
        let duration = match reason {
            Reason::Late => none.retry_after,
            _ => none.retry_after.max(MIN_RETRY_AFTER),
        };
        self.final_refusal(reason, Some(duration))
    }
}
