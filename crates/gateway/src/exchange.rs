//! Handling of one request, from choosing a server to the head of the answer.

mod choose;
mod relay;
mod respond;

use std::net::SocketAddr;
use std::sync::Arc;

use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_http::Answer;
use crocushold_http::Hangup;
use crocushold_http::Reuse;
use crocushold_http::SendError;
use crocushold_http::SendErrorKind;
use crocushold_http::SendLimits;
use crocushold_routing::Decision;
use crocushold_routing::Outcome;
use crocushold_routing::RequestFacts;
use crocushold_routing::SettlementWait;
use crocushold_routing::Stage;
use futures::future::Either;
use futures::future::select;
use http_types::Response;
use log::info;
use log::warn;

pub(crate) use self::relay::PeerGuard;
use crate::fleet::Choice;
use crate::intake::Job;
use crate::intake::STOP_RETRY;
use crate::placing::LineStanding;
use crate::protocol::AnswerMeta;
use crate::protocol::Forward;
use crate::quarantine::CutRun;
use crate::quarantine::run_cut;
use crate::reach;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::resumption::record_origin;
use crate::settle::Upstream;
use crate::shared::Shared;
use crate::verdict::Verdict;
use crate::verdict::classify_answer;
use crate::verdict::is_from_server;
use crate::verdict::outcome_of;
use crate::verdict::outcome_of_verdict;
use crate::verdict::stage_of;

/// Connect timeout: some hundred round trips between availability zones. A server without power
/// doesn't respond at all, and the request is sent to another one while its target can still be
/// met.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// How long a server or an instance may acknowledge nothing on TCP level. Sound servers may pause
/// for a second or two.
const ACK_TIMEOUT: Millis = Millis(4000);

/// Minimum timeout of an attempt whose request has reached its deadline.
const MIN_TIMEOUT: Millis = Millis(1);

/// Minimum `Retry-After` if the servers had no capacity: about the time in which a request
/// completes.
const MIN_RETRY_AFTER: Millis = Millis(500);

/// Why a request ended without an answer to relay.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The caller receives this final response.
    Refused(Refusal),
    /// The caller closed the connection, so nothing is sent.
    CallerGone,
}

/// State of one request while it is being sent.
pub(crate) struct Exchange<'a> {
    shared: &'a Arc<Shared>,
    job: &'a Job,
    facts: RequestFacts,
    /// Number of servers that received any byte of the request.
    sent: u32,
    /// Expected wait at the server that was chosen last.
    expected_wait: Millis,
    /// Engine from which the server chosen last was to fetch the shared prefix.
    source: Option<SocketAddr>,
    /// Number of prompt tokens that the server chosen last was expected to prefill.
    expected_prefill: u32,
    /// The other instance that made the last choice, if any.
    placer: Option<SocketAddr>,
    tried: Vec<ServerKey>,
    /// How long it has waited in the placer's line, if it has.
    line_wait: Option<Millis>,
    /// How it stood in line when that refused it.
    line_standing: Option<LineStanding>,
    /// Until when the request may wait here for a server, once it has waited.
    wait_until: Option<Millis>,
    /// Time until the next look for a server, once it has waited.
    look_interval: Option<Millis>,
    /// Whether this instance knows no server that accepts the request.
    unserved: bool,
    /// Its wait for a quarantine to settle.
    settlement: SettlementWait,
}

/// Result of one attempt.
enum AttemptResult {
    Answered(Box<Answer>, Box<AnswerMeta>),
    Failed(SendError),
    CallerGone,
}

/// What to do after an attempt.
enum NextStep {
    Relay(Box<Answer>, Verdict),
    /// Send the request to another server.
    Retry,
    /// There is no answer to relay; check whether the request may be retried.
    CheckRetry(Stage, Reason),
    CallerGone,
}

/// Releases the server's slot when the attempt is dropped, which is how a closed connection ends
/// it.
struct SlotGuard<'a> {
    shared: &'a Shared,
    choice: Option<Choice>,
}

impl SlotGuard<'_> {
    fn done(&mut self, outcome: Outcome) {
        if let Some(choice) = self.choice.take() {
            self.shared.done(&choice, outcome, 0, None);
        }
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.done(Outcome::Cancelled);
    }
}

impl<'a> Exchange<'a> {
    pub(crate) fn new(shared: &'a Arc<Shared>, job: &'a Job) -> Exchange<'a> {
        Exchange {
            shared,
            job,
            facts: RequestFacts {
                idempotent: job.need.idempotent,
                relayed: false,
                written: false,
                attempts: 0,
                deadline: job.deadline,
            },
            sent: 0,
            expected_wait: Millis::ZERO,
            source: None,
            expected_prefill: 0,
            placer: None,
            tried: Vec::new(),
            line_wait: None,
            line_standing: None,
            wait_until: None,
            look_interval: None,
            unserved: false,
            settlement: SettlementWait::default(),
        }
    }

    /// Sends the request, retrying where that is allowed, and returns the answer with its body
    /// still to be relayed.
    ///
    /// # Errors
    ///
    /// Returns the final refusal, or that the caller is gone.
    pub(crate) async fn run(&mut self, hangup: &Hangup) -> Result<Response, Failure> {
        loop {
            // A request that may have run can't be refused as not run, and goes on.
            if self.shared.is_stopping() && !self.facts.written {
                return Err(self.stopping());
            }
            if self.is_cut_off() {
                self.pass_quarantine().await?;
                // A request is relayed once at most.
                if self.job.entry.is_none() {
                    match self.relay_through_peer(hangup).await {
                        Some(Err(failure))
                            if self.may_wait_for_path(&failure) && self.wait_for_server().await =>
                        {
                            continue;
                        }
                        Some(result) => return result,
                        None => {}
                    }
                } else if !self.facts.written {
                    return Err(relay::unreachable());
                }
            }
            let choice = match self.choose_in_time(hangup).await {
                Ok(choice) => choice,
                Err(failure) if self.may_be_served_elsewhere() => {
                    return self.relay_unserved(failure, hangup).await;
                }
                Err(failure) => return Err(failure),
            };
            self.facts.attempts += 1;
            self.tried.push(choice.server);
            let mut slot = SlotGuard {
                shared: self.shared,
                choice: Some(choice.clone()),
            };
            let result = self.attempt(&choice, hangup).await;
            let next = self.review(result, &choice, &mut slot);
            match next {
                NextStep::CallerGone => return Err(Failure::CallerGone),
                NextStep::Relay(answer, verdict) => {
                    slot.choice = None;
                    if answer.status.is_success() {
                        record_origin(self.shared, self.job, &choice);
                    }
                    let outcome = outcome_of_verdict(verdict);
                    return Ok(self.respond(*answer, Upstream::Server(choice, outcome)));
                }
                NextStep::Retry => {}
                NextStep::CheckRetry(stage, reason) => self.retry_or_refuse(stage, reason)?,
            }
        }
    }

    /// Chooses a server unless the shutdown leaves no time for the request first.
    async fn choose_in_time(&mut self, hangup: &Hangup) -> Result<Choice, Failure> {
        if self.facts.written {
            return self.choose_for(hangup).await;
        }
        let shared = self.shared;
        let chosen = shared.unless_stopping(self.choose_for(hangup)).await;
        chosen.unwrap_or_else(|| Err(self.stopping()))
    }

    fn stopping(&self) -> Failure {
        Failure::Refused(self.final_refusal(Reason::Stopping, Some(STOP_RETRY)))
    }

    /// Chooses a server unless the caller leaves. The wait for one is as long as an answer may take
    /// only in the placer's line.
    async fn choose_for(&mut self, hangup: &Hangup) -> Result<Choice, Failure> {
        if !self.shared.settings.waiting_line {
            return self.choose().await;
        }
        let chosen = std::pin::pin!(self.choose());
        let gone = std::pin::pin!(hangup.wait());
        match select(chosen, gone).await {
            Either::Left((chosen, _)) => chosen,
            Either::Right(_) => Err(Failure::CallerGone),
        }
    }

    /// Builds the final refusal of a request. If the request may have run, the reason must not
    /// promise that it didn't.
    fn final_refusal(&self, reason: Reason, retry_after: Option<Millis>) -> Refusal {
        if self.facts.written {
            return Refusal::new(Reason::ServerFailed);
        }
        Refusal {
            reason,
            retry_after,
        }
    }

    /// Time left until the request's deadline.
    fn remaining(&self) -> Millis {
        let now = self.shared.clock.now();
        self.job.deadline.since(now).max(MIN_TIMEOUT)
    }

    /// Whether the request may use a connection that was open before.
    fn reuse(&self) -> Reuse {
        if self.job.need.idempotent {
            Reuse::Allowed
        } else {
            Reuse::Fresh
        }
    }

    async fn attempt(&mut self, choice: &Choice, hangup: &Hangup) -> AttemptResult {
        let job = self.job;
        let remaining = self.remaining();
        let limits = send_limits(CONNECT_TIMEOUT, remaining);
        let mut request = job.request();
        let forward = Forward {
            server: &choice.id,
            account: job.account.as_deref(),
            remaining,
            priority: job.need.priority,
            ranked: choice.engine,
            source: choice.source,
        };
        self.shared.protocol.forward(request.as_mut(), &forward);
        let sent = std::pin::pin!(self.shared.client.send(
            choice.address,
            request,
            &limits,
            self.reuse()
        ));
        let gone = std::pin::pin!(hangup.wait());
        // Dropping the future closes the connection, which cancels the request at the server.
        match select(sent, gone).await {
            Either::Left((Ok(mut answer), _)) => {
                answer.body.set_total_timeout(self.remaining());
                let meta = self.shared.protocol.answer(answer.status, &answer.headers);
                AttemptResult::Answered(Box::new(answer), Box::new(meta))
            }
            Either::Left((Err(error), _)) => AttemptResult::Failed(error),
            Either::Right(_) => AttemptResult::CallerGone,
        }
    }

    /// Classifies an attempt, reports it to the fleet, and decides what to do next.
    fn review(
        &mut self,
        result: AttemptResult,
        choice: &Choice,
        slot: &mut SlotGuard<'_>,
    ) -> NextStep {
        match result {
            AttemptResult::CallerGone => NextStep::CallerGone,
            AttemptResult::Failed(error) => {
                let stage = stage_of(&error);
                reach::failed(self.shared, choice, &error);
                slot.done(outcome_of(&error));
                self.record_failure(choice, stage, &error.to_string());
                if error.is_disconnect() {
                    let cut = CutRun {
                        request: &self.job.id,
                        content: &self.job.content,
                        answering: None,
                    };
                    run_cut(self.shared, choice, &cut);
                }
                let timed_out = matches!(
                    error.kind,
                    SendErrorKind::HeadTimeout | SendErrorKind::WriteTimeout
                );
                let reason = if timed_out {
                    Reason::Timeout
                } else {
                    Reason::ServerFailed
                };
                NextStep::CheckRetry(stage, reason)
            }
            AttemptResult::Answered(answer, meta) => {
                self.review_answer(answer, &meta, choice, slot)
            }
        }
    }

    fn review_answer(
        &mut self,
        answer: Box<Answer>,
        meta: &AnswerMeta,
        choice: &Choice,
        slot: &mut SlotGuard<'_>,
    ) -> NextStep {
        reach::connected(self.shared, choice, answer.reused);
        let now = self.shared.clock.now();
        if let Some(load) = meta.load {
            self.shared.fleet().record_load(choice, load, now);
        }
        if meta.absurd_load && self.shared.metrics.count_absurd_load() {
            warn!("{}", Event::new("load-absurd").with("server", &choice.id));
        }
        let verdict = classify_answer(answer.status, meta, &self.job.id, self.job.need.idempotent);
        if is_from_server(answer.status, meta, &self.job.id) {
            let is_success = verdict == Verdict::Good;
            self.shared.record_notice(choice, meta.notice, is_success);
        }
        match verdict {
            Verdict::Good => {
                self.sent += 1;
                self.shared.first_byte(choice, meta.load);
                self.shared.metrics.count_attempt("answered");
                NextStep::Relay(answer, verdict)
            }
            Verdict::Failed => {
                self.record_failure(choice, Stage::Answered, "the server failed");
                // This answer is better than none, so it is dropped only if the request may be
                // retried.
                if self.may_retry(Stage::Answered).is_ok() {
                    slot.done(Outcome::Failed);
                    return NextStep::Retry;
                }
                NextStep::Relay(answer, verdict)
            }
            Verdict::Rejected | Verdict::Misdirected => {
                slot.done(outcome_of_verdict(verdict));
                self.record_failure(choice, Stage::Rejected, "the server didn't run it");
                NextStep::CheckRetry(Stage::Rejected, Reason::Rejected)
            }
            Verdict::Bad => {
                slot.done(outcome_of_verdict(verdict));
                self.record_failure(choice, Stage::Answered, "not an answer to this request");
                NextStep::CheckRetry(Stage::Answered, Reason::BadAnswer)
            }
        }
    }

    /// Checks whether the request may be sent again after an attempt that reached `stage`.
    fn may_retry(&mut self, stage: Stage) -> Result<(), Refusal> {
        let now = self.shared.clock.now();
        let spent = self.sent >= self.job.attempts;
        if !spent {
            let service = &self.job.need.service;
            let decision = self
                .shared
                .fleet()
                .after_failure(service, &self.facts, stage, now);
            return match decision {
                Decision::Retry => Ok(()),
                Decision::GiveUp { retry_after, .. } => {
                    let duration = retry_after.map(|duration| duration.max(self.retry_delay(now)));
                    Err(self.final_refusal(Reason::BudgetSpent, duration))
                }
            };
        }
        Err(self.final_refusal(Reason::Rejected, Some(self.retry_delay(now))))
    }

    /// When a retry may succeed: not before the first server ends its rest, if all are resting.
    fn retry_delay(&self, now: Millis) -> Millis {
        let rest = self.shared.fleet().rest_wait(&self.job.need, now);
        rest.unwrap_or_default().max(MIN_RETRY_AFTER)
    }

    fn retry_or_refuse(&mut self, stage: Stage, reason: Reason) -> Result<(), Failure> {
        let refused = self.may_retry(stage);
        refused.map_err(|refusal| {
            Failure::Refused(if !stage.proves_not_run() {
                Refusal::new(reason)
            } else if self.facts.written {
                // This attempt didn't run, but an earlier one may have. The reason of this attempt
                // would promise that nothing ran.
                Refusal::new(Reason::ServerFailed)
            } else {
                refusal
            })
        })
    }

    /// Counts and logs an attempt that returned no answer to relay.
    fn record_failure(&mut self, choice: &Choice, stage: Stage, cause: &str) {
        if !stage.proves_unsent() {
            self.sent += 1;
        }
        if !stage.proves_not_run() {
            self.facts.written = true;
            self.settlement.end_trial();
        }
        self.shared.metrics.count_attempt(label(stage));
        let event = Event::new("attempt-failed")
            .with("request", &self.job.id)
            .with(
                "content",
                self.shared
                    .content_names
                    .pseudonym(self.job.content.request),
            )
            .with("server", &choice.id)
            .with("stage", label(stage))
            .with("attempt", self.facts.attempts)
            .with("cause", cause);
        info!("{event}");
    }
}

/// Limits on an attempt. A silent server may still be working; only the deadline of the request
/// bounds the wait.
fn send_limits(connect_timeout: Millis, remaining: Millis) -> SendLimits {
    SendLimits {
        connect_timeout: connect_timeout.min(remaining),
        write_timeout: remaining,
        head_timeout: remaining,
        stall_timeout: remaining,
        ack_timeout: ACK_TIMEOUT,
        close_delimited: true,
        ..SendLimits::default()
    }
}

fn label(stage: Stage) -> &'static str {
    match stage {
        Stage::NotConnected => "not-connected",
        Stage::Connected => "connected",
        Stage::Rejected => "rejected",
        Stage::Written => "written",
        Stage::Answered => "answered",
        Stage::Relayed => "relayed",
    }
}
