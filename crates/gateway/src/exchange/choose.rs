//! The choice of a server for a request of this instance.

use async_std::task;
use crocushold_base::Millis;
use crocushold_routing as routing;
use crocushold_routing::NoServer;
use crocushold_routing::Passage;

use super::Exchange;
use super::Failure;
use super::MIN_RETRY_AFTER;
use crate::fleet::Choice;
use crate::fleet::short_hash;
use crate::placing::LineTerms;
use crate::placing::Placement;
use crate::placing::PlacementAnswer;
use crate::placing::PlacementError;
use crate::placing::PlacementId;
use crate::placing::PlacementQuery;
use crate::placing::PlacementVerdict;
use crate::quarantine::log_trial;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// Maximum time for which a request waits here for a server, and the part of its remaining time that it
/// may take at most.
const MAX_WAIT: Millis = Millis(500);
const WAIT_DIVISOR: u64 = 4;

/// The part of its remaining time that a request may wait in line at most. It still has to be
/// answered, or refused so that its caller can go elsewhere.
const LINE_DIVISOR: u64 = 2;

/// Time until the second look for a server of the most urgent requests. It grows by half with each
/// one, as every look is a question to the placer.
const LOOK_INTERVAL: Millis = Millis(8);

impl Exchange<'_> {
    /// Chooses a server, and waits for one if the request may wait here.
    pub(super) async fn choose(&mut self) -> Result<Choice, Failure> {
        let none = loop {
            let now = self.shared.clock.now();
            if now >= self.job.deadline {
                let refusal = self.final_refusal(Reason::Overdue, Some(MIN_RETRY_AFTER));
                return Err(Failure::Refused(refusal));
            }
            self.pass_quarantine().await?;
            let now = self.shared.clock.now();
            match self.pick(now).await {
                Ok(choice) => return Ok(self.record_choice(choice)),
                Err(none) if self.may_wait(&none) && self.wait_for_server().await => {}
                Err(none) => break none,
            }
        };
        Err(Failure::Refused(self.no_server(&none)))
    }

    /// Chooses a server: by the placer, or by this instance.
    async fn pick(&mut self, now: Millis) -> Result<Choice, NoServer> {
        if let Some(asked) = self.ask_placer(now).await {
            return asked;
        }
        let now = self.shared.clock.now();
        let mut fleet = self.shared.fleet();
        fleet.pick(&self.job.need, &self.tried, now)
    }

    fn record_choice(&mut self, choice: Choice) -> Choice {
        self.expected_wait = choice.wait;
        self.source = choice.source;
        self.expected_prefill = choice.read;
        self.placer = choice.placement_id.map(|placement_id| placement_id.placer);
        choice
    }

    /// Whether the request waits here: rather than in the queue of a brittle server, or because it takes
    /// up a stream, for which only a part of the servers can be used and whose caller has few tries
    /// left.
    fn may_wait(&self, none: &NoServer) -> bool {
        let is_late = matches!(none.reason, routing::Reason::Late { .. });
        let takes_up = self.job.need.software.is_some() && !is_late;
        let is_busy = none.reason == routing::Reason::Busy;
        takes_up || is_busy && self.shared.fleet().is_brittle(&self.job.need)
    }

    /// Waits until the next look for a server; `false` if the request has waited for as long as it may.
    /// Urgent requests look more often, so that they are the first to get one.
    pub(super) async fn wait_for_server(&mut self) -> bool {
        let now = self.shared.clock.now();
        let longest = Millis(self.job.deadline.since(now).0 / WAIT_DIVISOR).min(MAX_WAIT);
        let until = *self.wait_until.get_or_insert(now + longest);
        if now >= until {
            return false;
        }
        let rank = u64::from(self.job.need.priority);
        let interval = self.look_interval;
        let interval = interval.unwrap_or(Millis(LOOK_INTERVAL.0 * (1 + rank)));
        self.look_interval = Some(Millis(interval.0 * 3 / 2));
        task::sleep(interval.min(until.since(now)).into()).await;
        true
    }

    /// Refuses a request under which servers have ended. Each further attempt would end another
    /// server with all requests that run there.
    ///
    /// Until the quarantine is settled, the request waits: another instance may have served it since,
    /// and says so soon.
    pub(super) async fn pass_quarantine(&mut self) -> Result<(), Failure> {
        loop {
            match self.check_quarantine() {
                Passage::Open => return Ok(()),
                Passage::Trial => {
                    log_trial(self.shared, &self.job.id, &self.job.content);
                    return Ok(());
                }
                Passage::Wait(interval) => task::sleep(interval.into()).await,
                Passage::Refused { retry_after } => {
                    let refusal = self.final_refusal(Reason::Quarantined, Some(retry_after));
                    return Err(Failure::Refused(refusal));
                }
            }
        }
    }

    fn check_quarantine(&mut self) -> Passage {
        let now = self.shared.clock.now();
        let mut quarantine = self.shared.quarantine();
        let settlement = &mut self.settlement;
        settlement.check(&mut quarantine, &self.job.content, self.job.deadline, now)
    }

    /// Asks the placer for a server. Returns `None` if this instance has to choose itself: the
    /// request is neither for an engine nor for a service with paced servers, there is no reply, or
    /// the reply can't be used here.
    async fn ask_placer(&mut self, now: Millis) -> Option<Result<Choice, NoServer>> {
        let need = &self.job.need;
        if need.unique_tokens == 0 && !self.shared.fleet().needs_placer(&need.service, now) {
            return None;
        }
        let line = self.line_terms(now);
        // The placer asks itself only for requests that may wait in its line.
        if line.is_none() && self.shared.placer.asks_itself() {
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
            line,
            clock: self.shared.clock,
        };
        let answer = match self.shared.placer.ask(query.clone()).await {
            Err(PlacementError::NoPlacer) => self.ask_first_placer(query).await,
            answer => answer,
        };
        match answer {
            Ok(answer) => self.use_answer(answer),
            Err(PlacementError::NoPlacer) => None,
            // The placer may only be late, and is replaced soon if it is gone.
            Err(PlacementError::Silent) => self.full_if_brittle(),
            Err(PlacementError::Timeout) => {
                self.shared.metrics.count_placement("silent");
                self.full_if_brittle()
            }
        }
    }

    /// The choice or the refusal by the placer's answer; `None` if this instance has to choose itself.
    fn use_answer(&mut self, answer: PlacementAnswer) -> Option<Result<Choice, NoServer>> {
        if let Some(waited) = answer.waited {
            self.line_wait = Some(self.line_wait.unwrap_or_default() + waited);
        }
        let metrics = &self.shared.metrics;
        let refusal = |reason, retry_after| {
            Some(Err(NoServer {
                reason,
                retry_after,
            }))
        };
        match answer.verdict {
            PlacementVerdict::Placed(placement) => {
                let adopted = self.adopt(answer.placement_id, &placement);
                metrics.count_placement(if adopted.is_some() {
                    "placed"
                } else {
                    "not-taken"
                });
                let Some(choice) = adopted else {
                    self.shared.placer.release(answer.placement_id);
                    return self.full_if_brittle();
                };
                Some(Ok(choice))
            }
            PlacementVerdict::Late { wait, retry_delay } => {
                metrics.count_placement("late");
                refusal(routing::Reason::Late { wait }, retry_delay)
            }
            PlacementVerdict::Refused {
                wait,
                retry_delay,
                standing,
            } => {
                metrics.count_placement("late");
                self.line_standing = Some(standing);
                refusal(routing::Reason::Late { wait }, retry_delay)
            }
            PlacementVerdict::Full { retry_delay } => {
                metrics.count_placement("full");
                refusal(routing::Reason::Busy, retry_delay)
            }
            PlacementVerdict::Unable | PlacementVerdict::Waiting => {
                metrics.count_placement("unable");
                None
            }
        }
    }

    /// Takes a slot of the server that the placer chose; `None` if it can't be used here.
    fn adopt(&self, placement_id: PlacementId, placement: &Placement) -> Option<Choice> {
        let now = self.shared.clock.now();
        let mut choice = if self.shared.placer.is_own(placement_id.placer) {
            self.take_own(placement_id, now)?
        } else {
            let mut fleet = self.shared.fleet();
            fleet.adopt(&self.job.need, placement, &self.tried, now)?
        };
        choice.placement_id = Some(placement_id);
        Some(choice)
    }

    /// Asks the first placer after a start, once it is known.
    async fn ask_first_placer(
        &self,
        query: PlacementQuery<'_>,
    ) -> Result<PlacementAnswer, PlacementError> {
        let placer = &self.shared.placer;
        if !placer.wait_for_placer(query.remaining).await {
            return Err(PlacementError::NoPlacer);
        }
        let now = self.shared.clock.now();
        let query = PlacementQuery {
            remaining: self.job.deadline.since(now),
            ..query
        };
        placer.ask(query).await
    }

    /// On which terms the request may wait in line; `None` if it may not.
    fn line_terms(&self, now: Millis) -> Option<LineTerms> {
        let limit = self.job.line_limit?;
        if !self.shared.settings.waiting_line || !self.shared.fleet().uses_line(&self.job.need, now)
        {
            return None;
        }
        let remaining = self.job.deadline.since(now);
        let limit = limit.since(now.since(self.job.arrived));
        let account = self.job.account.as_deref();
        Some(LineTerms {
            account: account.map_or(0, short_hash),
            limit: limit.min(Millis(remaining.0 / LINE_DIVISOR)),
            request: (self.job.content.request.0 as u32).max(1),
        })
    }

    /// The choice of this instance in its own line.
    fn take_own(&self, placement_id: PlacementId, now: Millis) -> Option<Choice> {
        let choice = self.shared.placer.take_own(placement_id)?;
        let mut fleet = self.shared.fleet();
        fleet.record_first_attempt(&self.job.need, &self.tried, now);
        Some(choice)
    }

    /// The result of a question that led to no placement, if the servers are brittle: what this
    /// instance sent there by itself would come on top of what the placer sends.
    fn full_if_brittle(&self) -> Option<Result<Choice, NoServer>> {
        let is_brittle = self.shared.fleet().is_brittle(&self.job.need);
        is_brittle.then_some(Err(NoServer {
            reason: routing::Reason::Busy,
            retry_after: MIN_RETRY_AFTER,
        }))
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
            routing::Reason::Software => Reason::SoftwareGone,
            routing::Reason::Tried => Reason::Rejected,
            _ => Reason::NoServer,
        };
        self.unserved = reason.is_unserved();
        let duration = match reason {
            Reason::Late => none.retry_after,
            Reason::NoServer => self.unserved_delay(none.retry_after.max(MIN_RETRY_AFTER)),
            _ => none.retry_after.max(MIN_RETRY_AFTER),
        };
        self.final_refusal(reason, Some(duration))
    }

    /// When to retry while the service has no servers: earlier than after `usual` if the instance has
    /// just started, since servers that started with it are announced soon.
    fn unserved_delay(&self, usual: Millis) -> Millis {
        let shared = self.shared;
        let draw = shared.return_draw(&self.job.id);
        let returns = shared.start.returns();
        let delay = returns.unserved(shared.clock.now(), self.job.need.priority, draw);
        delay.map_or(usual, |delay| delay.min(usual))
    }
}
