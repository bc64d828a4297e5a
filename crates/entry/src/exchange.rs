//! One request, from admission to the head of its response.

mod classify;
mod guard;

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use crocushold_admission::NotRun;
use crocushold_admission::RetryPermit;
use crocushold_admission::Sent;
use crocushold_admission::Ticket;
use crocushold_base::Clock;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_http::Answer;
use crocushold_http::AnswerTimeout;
use crocushold_http::Client;
use crocushold_http::Hangup;
use crocushold_http::Reuse;
use crocushold_http::SendError;
use crocushold_http::SendErrorKind;
use crocushold_http::SendLimits;
use crocushold_http::is_event_stream;
use crocushold_http::keep_content_type;
use crocushold_http::relay_headers;
use crocushold_metrics::ClassMetrics;
use crocushold_metrics::GaugeGuard;
use crocushold_metrics::RequestEnd;
use crocushold_metrics::RequestRecord;
use crocushold_metrics::WasteCause;
use crocushold_ownership as ownership;
use crocushold_routing::Outcome;
use crocushold_routing::Pick;
use crocushold_routing::RequestFacts;
use crocushold_routing::SettlementWait;
use crocushold_routing::Stage;
use futures::future::Either;
use futures::future::select;
use http_types::Response;
use log::info;

use self::classify::asked_rest;
use self::classify::body_timeout;
use self::classify::give_up;
use self::classify::outcome_of_error;
use self::classify::outcome_of_status;
use self::classify::stage_of;
use self::guard::AttemptGuard;
use self::guard::ClaimGuard;
use self::guard::QueueGuard;
use self::guard::TicketGuard;
use crate::coordination::Coordinator;
use crate::coordination::Permit;
use crate::coordination::TokenEstimate;
use crate::decode::Job;
use crate::failpoint::Point;
use crate::failpoint::reach;
use crate::pool::Dispatch;
use crate::pool::NoRetry;
use crate::pool::Pool;
use crate::pool::QueueResult;
use crate::pool::QueuedRequest;
use crate::refusal::Ran;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::response_observer::RequestContext;
use crate::response_observer::RequestSlots;
use crate::response_observer::ResponseObserver;
use crate::sent_attempt::SentAttempt;

/// How often, and at which intervals, the claim of a repeated request is tried again while its first
/// attempt seems to run. The members are told of an attempt's end after the last byte of its answer,
/// which a repeat may overtake.
const SETTLEMENT_CHECKS: u32 = 3;
const SETTLEMENT_INTERVAL: Millis = Millis(50);

/// Minimum timeout of an attempt whose request has reached its deadline.
const MIN_TIMEOUT: Millis = Millis(1);

/// Why a request failed before a response could be relayed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The caller receives this refusal.
    Refused(Refusal),
    /// The caller closed the connection.
    CallerGone,
}

/// A request that is being processed.
pub(crate) struct Exchange<'a> {
    pub(crate) client: &'a Client,
    pub(crate) coordinator: &'a Arc<Coordinator>,
    pub(crate) clock: Clock,
    pub(crate) pool: Arc<Pool>,
    pub(crate) metrics: ClassMetrics,
    pub(crate) id: &'a str,
    pub(crate) arrived: Millis,
    pub(crate) job: Job,
}

/// Resources that a request holds until its response has ended.
struct HeldResources {
    ticket: Ticket<Sent>,
    permit: Permit,
    running: GaugeGuard,
}

/// The attempts so far.
struct Attempts {
    facts: RequestFacts,
    tried: Vec<ServerKey>,
}

impl Exchange<'_> {
    /// Queues and sends the request. Returns the response, whose body is still to be relayed.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or that the caller has disconnected. The request is already counted in
    /// the metrics then.
    pub(crate) async fn run(&self, hangup: &Hangup) -> Result<Response, Failure> {
        let result = self.run_uncounted(hangup).await;
        if let Err(failure) = &result {
            self.count(failure);
        }
        result
    }

    async fn run_uncounted(&self, hangup: &Hangup) -> Result<Response, Failure> {
        let suspects = self.coordinator.suspects();
        let deadline = self.job.arrival.deadline;
        let mut settlement = SettlementWait::default();
        let admitted = suspects.admit(self.id, &self.job.content, deadline, &mut settlement);
        admitted.await.map_err(Failure::Refused)?;
        let permit = self.admit()?;
        let dispatch = match self.wait_for_dispatch(hangup).await {
            Ok(dispatch) => dispatch,
            Err(failure) => {
                permit.refund();
                return Err(failure);
            }
        };
        self.metrics
            .observe_wait(self.clock.now().since(self.arrived));
        self.send(dispatch, permit, settlement, hangup).await
    }

    /// Checks the account's limits, which apply to all services together.
    fn admit(&self) -> Result<Permit, Failure> {
        let arrival = &self.job.arrival;
        let estimate = TokenEstimate {
            prompt: arrival.prompt_tokens,
            output: arrival.max_tokens,
        };
        let permit = self.coordinator.limits().admit(arrival.account, &estimate);
        permit.map_err(|exceeded| Failure::Refused(Refusal::from_limit(exceeded)))
    }

    /// Queues the request and waits until it is dispatched or refused.
    async fn wait_for_dispatch(&self, hangup: &Hangup) -> Result<Dispatch, Failure> {
        let queued = self
            .pool
            .submit(&self.job.arrival, self.job.requirements)
            .map_err(Failure::Refused)?;
        self.wait_in_queue(queued, hangup).await
    }

    async fn wait_in_queue(
        &self,
        queued: QueuedRequest,
        hangup: &Hangup,
    ) -> Result<Dispatch, Failure> {
        let _queued = self.metrics.queued();
        // If the connection is closed, this future is dropped, and the guard removes the request.
        let mut guard = QueueGuard {
            pool: &self.pool,
            queued: Some(queued),
        };
        let gone = std::pin::pin!(hangup.wait());
        let queue_result = match select(guard.queue_result(), gone).await {
            Either::Left((queue_result, _)) => queue_result,
            Either::Right(_) => return Err(Failure::CallerGone),
        };
        let Ok(queue_result) = queue_result else {
            let refusal = Refusal::not_run(Reason::NotServing, "the service was removed");
            return Err(Failure::Refused(refusal));
        };
        guard.disarm();
        match queue_result {
            QueueResult::Dispatched(dispatch) => Ok(dispatch),
            QueueResult::Refused(refusal) => Err(Failure::Refused(refusal)),
        }
    }

    /// Claims the idempotency key, if there is one. The claim comes last, when a server is
    /// available, so that a request that is queued or refused in the queue leaves no record.
    async fn claim(&self) -> Result<Option<ClaimGuard<'_>>, Failure> {
        let Some(idempotency_key) = self.job.idempotency_key else {
            return Ok(None);
        };
        let refused = |refusal| Failure::Refused(Refusal::from_claim(refusal));
        let mut claimed = self.coordinator.claim(idempotency_key).await;
        for _ in 0..SETTLEMENT_CHECKS {
            if !matches!(claimed, Err(ownership::Refusal::InProgress { .. })) {
                break;
            }
            task::sleep(SETTLEMENT_INTERVAL.into()).await;
            claimed = self.coordinator.claim(idempotency_key).await;
        }
        let grant = claimed.map_err(refused)?;
        match grant.start(self.clock.now()) {
            Ok(started) => Ok(Some(ClaimGuard {
                coordinator: self.coordinator,
                started: Some(started),
            })),
            // The process was suspended after it had asked for the votes.
            Err(settlement) => {
                self.coordinator.settle(settlement);
                let retry_after = Millis::from_secs(1);
                Err(refused(ownership::Refusal::NotRun { retry_after }))
            }
        }
    }

    /// Sends the request, with retries where the retry policy allows them.
    async fn send(
        &self,
        dispatch: Dispatch,
        permit: Permit,
        mut settlement: SettlementWait,
        hangup: &Hangup,
    ) -> Result<Response, Failure> {
        let mut ticket_guard = TicketGuard {
            pool: &self.pool,
            ticket: Some(dispatch.ticket.sent()),
        };
        let mut running = self.metrics.running();
        let mut attempts = Attempts::new(&self.job);
        let mut pick = dispatch.pick;
        let mut address = dispatch.address;
        let mut claim_guard = self.claim_for(&pick).await?;
        loop {
            attempts.facts.attempts += 1;
            attempts.tried.push(pick.server);
            let sent = self.sent_attempt(&pick, address);
            let (stage, outcome, timed_out) = match self
                .attempt(&pick, address, &mut settlement, hangup)
                .await
            {
                AttemptResult::CallerGone => return Err(Failure::CallerGone),
                AttemptResult::DeadlinePassed => (Stage::NotConnected, Outcome::Cancelled, true),
                AttemptResult::Quarantined(refusal) if attempts.facts.written => {
                    return Err(Failure::Refused(refusal.may_have_run()));
                }
                AttemptResult::Quarantined(refusal) => {
                    if let Some(claim_guard) = claim_guard.take() {
                        claim_guard.not_run();
                    }
                    return Err(Failure::Refused(refusal));
                }
                AttemptResult::Responded(answer) if !self.should_retry(&answer) => {
                    if let Some(claim_guard) = claim_guard.take() {
                        claim_guard.completed(answer.status);
                    }
                    let ticket = ticket_guard.take();
                    let resources = HeldResources {
                        ticket,
                        permit,
                        running,
                    };
                    return Ok(self.relay(*answer, resources, &pick, sent));
                }
                AttemptResult::Responded(answer) if asked_rest(&answer).is_some() => {
                    (Stage::Answered, Outcome::Cancelled, false)
                }
                AttemptResult::Responded(answer) => {
                    (Stage::Answered, outcome_of_status(answer.status), false)
                }
                AttemptResult::Failed(error) => {
                    if error.is_disconnect() {
                        sent.on_cut(None);
                    }
                    let timed_out = matches!(error.kind, SendErrorKind::HeadTimeout);
                    (stage_of(&error), self.outcome(&error), timed_out)
                }
            };
            self.end_attempt(&pick, stage, outcome);
            let next = self.pool.retry(
                &attempts.facts,
                stage,
                &self.job.requirements,
                &attempts.tried,
            );
            if !stage.proves_not_run() {
                attempts.facts.written = true;
                settlement.end_trial();
            }
            (pick, address) = match next {
                Ok(next) => next,
                // A claim is valid for a few seconds only, so its request can't be queued again.
                Err(NoRetry::Busy(_)) if claim_guard.is_none() => {
                    drop(running);
                    let dispatch = self
                        .requeue_and_wait(ticket_guard.take(), &attempts, hangup)
                        .await?;
                    ticket_guard.ticket = Some(dispatch.ticket.sent());
                    running = self.metrics.running();
                    (dispatch.pick, dispatch.address)
                }
                Err(none) => {
                    if !attempts.facts.written
                        && let Some(claim_guard) = claim_guard.take()
                    {
                        claim_guard.not_run();
                    }
                    return Err(give_up(none.decision(), timed_out));
                }
            };
            self.metrics.retried();
        }
    }

    fn sent_attempt(&self, pick: &Pick, address: SocketAddr) -> SentAttempt {
        SentAttempt {
            suspects: self.coordinator.suspects().clone(),
            pool: self.pool.clone(),
            server: pick.server,
            address,
            content: self.job.content.clone(),
            sent: self.clock.now(),
            began: None,
        }
    }

    /// Puts the request back into the queue, after the retry policy has allowed another attempt.
    async fn requeue_and_wait(
        &self,
        ticket: Ticket<Sent>,
        attempts: &Attempts,
        hangup: &Hangup,
    ) -> Result<Dispatch, Failure> {
        let ticket = if attempts.facts.written {
            ticket.retry(RetryPermit)
        } else {
            ticket.not_run(NotRun::NothingWritten)
        };
        let tried = attempts.tried.clone();
        let queued = self.pool.requeue(ticket, self.job.requirements, tried);
        let dispatch = self.wait_in_queue(queued, hangup).await;
        dispatch.map_err(|failure| match failure {
            // The queue has no record of previous attempts and reports that the request did not
            // run.
            Failure::Refused(refusal) if attempts.facts.written => {
                Failure::Refused(refusal.may_have_run())
            }
            failure => failure,
        })
    }

    /// Like [`Exchange::claim`], but also releases the server's slot if the claim fails.
    async fn claim_for(&self, pick: &Pick) -> Result<Option<ClaimGuard<'_>>, Failure> {
        let mut guard = AttemptGuard {
            pool: &self.pool,
            pick: Some(*pick),
        };
        reach(Point::Dispatched).await;
        let claim_guard = self.claim().await?;
        guard.pick = None;
        Ok(claim_guard)
    }

    async fn attempt(
        &self,
        pick: &Pick,
        address: SocketAddr,
        settlement: &mut SettlementWait,
        hangup: &Hangup,
    ) -> AttemptResult {
        let limits = SendLimits {
            head_timeout: self.head_timeout(pick),
            ..SendLimits::default()
        };
        let reuse = if self.job.requirements.idempotent {
            Reuse::Allowed
        } else {
            Reuse::Fresh
        };
        let mut request = self.job.request();
        request.insert_header("x-request-id", self.id);
        let mut guard = AttemptGuard {
            pool: &self.pool,
            pick: Some(*pick),
        };
        reach(Point::Claimed).await;
        // The process may have been suspended after the request was dispatched. Past the deadline
        // nobody can use the response, and the request would run although its caller has given up
        // on it.
        if self.clock.now() >= self.job.arrival.deadline {
            guard.pick = None;
            return AttemptResult::DeadlinePassed;
        }
        // While the request was queued, servers may have ended under other requests with the same
        // content.
        let (suspects, deadline) = (self.coordinator.suspects(), self.job.arrival.deadline);
        let content = &self.job.content;
        if let Err(refusal) = suspects.admit(self.id, content, deadline, settlement).await {
            return AttemptResult::Quarantined(refusal);
        }
        let sent = std::pin::pin!(self.client.send(address, request, &limits, reuse));
        let gone = std::pin::pin!(hangup.wait());
        // Dropping the future closes the connection, which makes the server stop its work.
        match select(sent, gone).await {
            Either::Left((Ok(answer), _)) => {
                reach(Point::Answered).await;
                guard.pick = None;
                if let Some(span) = asked_rest(&answer) {
                    let server = pick.server;
                    self.pool
                        .update(|state, now| state.record_rest(server, span, now));
                }
                AttemptResult::Responded(Box::new(answer))
            }
            Either::Left((Err(error), _)) => {
                guard.pick = None;
                AttemptResult::Failed(error)
            }
            Either::Right(_) => AttemptResult::CallerGone,
        }
    }

    /// Time within which the server must begin its response.
    ///
    /// It never exceeds the caller's deadline. The caller will have disconnected by then or is about
    /// to, and a server that hangs would occupy a slot for nobody.
    fn head_timeout(&self, pick: &Pick) -> Millis {
        let bound = if self.job.stream {
            pick.first_byte_timeout
        } else {
            self.job.response_timeout
        };
        let left = self.job.arrival.deadline.since(self.clock.now());
        bound.min(left.max(MIN_TIMEOUT))
    }

    /// Outcome of a failed attempt for the router. An attempt that ended because of the caller's
    /// deadline says nothing about the server: a caller with a short timeout must not cause servers
    /// to be ejected.
    fn outcome(&self, error: &SendError) -> Outcome {
        let deadline_passed = self.clock.now() >= self.job.arrival.deadline;
        if deadline_passed && matches!(error.kind, SendErrorKind::HeadTimeout) {
            return Outcome::Cancelled;
        }
        outcome_of_error(error)
    }

    /// Whether the response is a server failure and the request can safely be repeated.
    fn should_retry(&self, answer: &Answer) -> bool {
        self.job.requirements.idempotent && answer.status.is_server_error()
    }

    fn end_attempt(&self, pick: &Pick, stage: Stage, outcome: Outcome) {
        self.pool.end_attempt(pick.attempt, outcome, 0);
        if !stage.proves_not_run() {
            self.metrics.wasted(WasteCause::Retried, 0, Millis::ZERO);
        }
        info!(
            "{}",
            Event::new("attempt-failed")
                .with("request", self.id)
                .with("outcome", format!("{outcome:?}"))
                .with("stage", format!("{stage:?}"))
        );
    }

    fn relay(
        &self,
        mut answer: Answer,
        resources: HeldResources,
        pick: &Pick,
        sent: SentAttempt,
    ) -> Response {
        let mut response = Response::new(answer.status);
        relay_headers(&answer.headers, response.as_mut());
        let observer = ResponseObserver::new(RequestContext {
            clock: self.clock,
            metrics: self.metrics.clone(),
            slots: RequestSlots::new(self.pool.clone(), resources.ticket, pick.attempt),
            permit: resources.permit,
            arrived: self.arrived,
            stream: self.job.stream,
            failed: answer.status.is_server_error(),
            sent: SentAttempt {
                began: Some(self.clock.now()),
                ..sent
            },
            _running: resources.running,
        });
        let content_type = response.content_type();
        let has_events = content_type
            .as_ref()
            .is_some_and(|content_type| is_event_stream(content_type.essence()));
        if has_events {
            answer.body.expect_events();
        }
        let plain_timeout = (!has_events).then_some(self.job.response_timeout);
        let deadline = self.job.arrival.deadline;
        if let Some(timeout) = body_timeout(deadline, plain_timeout, self.clock.now()) {
            answer.body.set_total_timeout(timeout);
            response.ext_mut().insert(AnswerTimeout(timeout));
        }
        let body = answer.body.into_body(observer);
        keep_content_type(&mut response, |response| response.set_body(body));
        response
    }

    fn count(&self, failure: &Failure) {
        let end = match failure {
            Failure::CallerGone => RequestEnd::Cancelled,
            Failure::Refused(refusal) if refusal.ran == Ran::Unknown => RequestEnd::Unknown,
            Failure::Refused(refusal) => RequestEnd::Refused(refusal.reason.metric()),
        };
        let now = self.clock.now();
        let record = RequestRecord {
            end,
            whole: now.since(self.arrived),
            ..RequestRecord::default()
        };
        self.metrics.finish(&record, now);
    }
}

enum AttemptResult {
    Responded(Box<Answer>),
    Failed(SendError),
    CallerGone,
    /// The caller's deadline passed before a connection was opened.
    DeadlinePassed,
    /// Not sent, because servers ended under requests with the same content.
    Quarantined(Refusal),
}

impl Attempts {
    fn new(job: &Job) -> Attempts {
        Attempts {
            facts: RequestFacts {
                idempotent: job.requirements.idempotent,
                relayed: false,
                written: false,
                attempts: 0,
                deadline: job.arrival.deadline,
            },
            tried: Vec::new(),
        }
    }
}
