//! One request, from admission to the head of its answer.

mod fate;
mod guard;

use std::net::SocketAddr;
use std::sync::Arc;

use crocushold_admission::NotRun;
use crocushold_admission::RetryPermit;
use crocushold_admission::Sent;
use crocushold_admission::Ticket;
use crocushold_base::Clock;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_http::Answer;
use crocushold_http::Client;
use crocushold_http::Hangup;
use crocushold_http::Reuse;
use crocushold_http::SendError;
use crocushold_http::SendErrorKind;
use crocushold_http::SendLimits;
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
use crocushold_routing::Stage;
use futures::future::Either;
use futures::future::select;
use http_types::Response;
use log::info;

use self::fate::give_up;
use self::fate::outcome_of_error;
use self::fate::outcome_of_status;
use self::fate::stage_of;
use self::guard::AttemptGuard;
use self::guard::Claimed;
use self::guard::QueueGuard;
use self::guard::Slot;
use crate::coordination::Ask;
use crate::coordination::Coordinator;
use crate::coordination::Permit;
use crate::failpoint::Point;
use crate::failpoint::reach;
use crate::intake::Job;
use crate::pool::NoRepeat;
use crate::pool::Pool;
use crate::pool::Start;
use crate::pool::Turn;
use crate::pool::Waiting;
use crate::refusal::Ran;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::sent_run::SentRun;
use crate::settle::Settle;
use crate::settle::Slots;
use crate::settle::Watched;

/// The least time for an attempt whose request is at its bound already.
const LEAST_TIMEOUT: Millis = Millis(1);

/// How a request ended before an answer could be relayed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The caller gets this final answer.
    Refused(Refusal),
    /// The caller hung up; there is nobody to answer.
    CallerGone,
}

/// One request on its way.
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

/// What a request holds until its answer has ended.
struct Held {
    ticket: Ticket<Sent>,
    permit: Permit,
    running: GaugeGuard,
}

/// What is known of the attempts so far.
struct Attempts {
    facts: RequestFacts,
    tried: Vec<ServerKey>,
}

impl Exchange<'_> {
    /// Queues the request, sends it, and returns the answer with its body still to be relayed.
    ///
    /// # Errors
    ///
    /// The final refusal, or that the caller is gone. The request has been counted then.
    pub(crate) async fn run(&self, hangup: &Hangup) -> Result<Response, Failure> {
        let result = self.run_uncounted(hangup).await;
        if let Err(failure) = &result {
            self.count(failure);
        }
        result
    }

    async fn run_uncounted(&self, hangup: &Hangup) -> Result<Response, Failure> {
        let suspects = self.coordinator.suspects();
        suspects.admit(self.job.content).map_err(Failure::Refused)?;
        let permit = self.admit()?;
        let start = match self.wait_turn(hangup).await {
            Ok(start) => start,
            Err(failure) => {
                permit.refund();
                return Err(failure);
            }
        };
        self.metrics
            .observe_wait(self.clock.now().since(self.arrived));
        self.send(start, permit, hangup).await
    }

    /// Checks the account's limits, which hold over all services.
    fn admit(&self) -> Result<Permit, Failure> {
        let arrival = &self.job.arrival;
        let ask = Ask {
            prompt: arrival.prompt_tokens,
            output: arrival.max_tokens,
        };
        let permit = self.coordinator.limits().admit(arrival.account, &ask);
        permit.map_err(|hit| Failure::Refused(Refusal::from_limit(hit)))
    }

    /// Waits in the queue.
    async fn wait_turn(&self, hangup: &Hangup) -> Result<Start, Failure> {
        let waiting = self
            .pool
            .submit(&self.job.arrival, self.job.need)
            .map_err(Failure::Refused)?;
        self.wait_in_queue(waiting, hangup).await
    }

    async fn wait_in_queue(&self, waiting: Waiting, hangup: &Hangup) -> Result<Start, Failure> {
        let _queued = self.metrics.queued();
        // The guard also runs when this future is dropped, which is how a cut connection ends it.
        let mut guard = QueueGuard {
            pool: &self.pool,
            waiting: Some(waiting),
        };
        let gone = std::pin::pin!(hangup.wait());
        let turn = match select(guard.turn(), gone).await {
            Either::Left((turn, _)) => turn,
            Either::Right(_) => return Err(Failure::CallerGone),
        };
        let Ok(turn) = turn else {
            let refusal = Refusal::not_run(Reason::NotServing, "the service was removed");
            return Err(Failure::Refused(refusal));
        };
        guard.disarm();
        match turn {
            Turn::Start(start) => Ok(start),
            Turn::Refused(refusal) => Err(Failure::Refused(refusal)),
        }
    }

    /// Claims the idempotency key, if there is one. It is claimed last, when a server is at hand, so
    /// that a request that waits or is refused in the queue leaves no record.
    async fn claim(&self) -> Result<Option<Claimed<'_>>, Failure> {
        let Some(once) = self.job.once else {
            return Ok(None);
        };
        let refused = |refusal| Failure::Refused(Refusal::from_claim(refusal));
        let grant = self.coordinator.claim(once).await.map_err(refused)?;
        match grant.start(self.clock.now()) {
            Ok(started) => Ok(Some(Claimed {
                coordinator: self.coordinator,
                started: Some(started),
            })),
            // The process stood still since the votes were asked for.
            Err(settlement) => {
                self.coordinator.settle(settlement);
                let retry_after = Millis::from_secs(1);
                Err(refused(ownership::Refusal::NotRun { retry_after }))
            }
        }
    }

    /// Sends the request, repeatedly where that is allowed.
    async fn send(
        &self,
        start: Start,
        permit: Permit,
        hangup: &Hangup,
    ) -> Result<Response, Failure> {
        let mut slot = Slot {
            pool: &self.pool,
            ticket: Some(start.ticket.sent()),
        };
        let mut running = self.metrics.running();
        let mut attempts = Attempts::new(&self.job);
        let mut pick = start.pick;
        let mut address = start.address;
        let mut claimed = self.claim_for(&pick).await?;
        loop {
            attempts.facts.attempts += 1;
            attempts.tried.push(pick.server);
            let run = self.sent_run(&pick, address);
            let (stage, outcome, late) = match self.attempt(&pick, address, hangup).await {
                Attempted::Gone => return Err(Failure::CallerGone),
                Attempted::Overdue => (Stage::NotConnected, Outcome::Cancelled, true),
                Attempted::Held(refusal) if attempts.facts.written => {
                    return Err(Failure::Refused(refusal.may_have_run()));
                }
                Attempted::Held(refusal) => {
                    if let Some(claimed) = claimed.take() {
                        claimed.not_run();
                    }
                    return Err(Failure::Refused(refusal));
                }
                Attempted::Answered(answer) if !self.should_retry(&answer) => {
                    if let Some(claimed) = claimed.take() {
                        claimed.completed(answer.status);
                    }
                    let ticket = slot.take();
                    let held = Held {
                        ticket,
                        permit,
                        running,
                    };
                    return Ok(self.relay(*answer, held, &pick, run));
                }
                Attempted::Answered(answer) => {
                    (Stage::Answered, outcome_of_status(answer.status), false)
                }
                Attempted::Failed(error) => {
                    if error.is_disconnect() {
                        run.cut();
                    }
                    let late = matches!(error.kind, SendErrorKind::HeadTimeout);
                    (stage_of(&error), self.outcome(&error), late)
                }
            };
            self.end_attempt(&pick, stage, outcome);
            let next = self
                .pool
                .retry(&attempts.facts, stage, &self.job.need, &attempts.tried);
            attempts.facts.written |= !stage.proves_not_run();
            (pick, address) = match next {
                Ok(next) => next,
                // A claim is good for a few seconds only, so its request can't wait for a turn.
                Err(NoRepeat::Busy(_)) if claimed.is_none() => {
                    drop(running);
                    let start = self.wait_again(slot.take(), &attempts, hangup).await?;
                    slot.ticket = Some(start.ticket.sent());
                    running = self.metrics.running();
                    (start.pick, start.address)
                }
                Err(none) => {
                    if !attempts.facts.written
                        && let Some(claimed) = claimed.take()
                    {
                        claimed.not_run();
                    }
                    return Err(give_up(none.decision(), late));
                }
            };
            self.metrics.retried();
        }
    }

    fn sent_run(&self, pick: &Pick, address: SocketAddr) -> SentRun {
        SentRun {
            suspects: self.coordinator.suspects().clone(),
            pool: self.pool.clone(),
            server: pick.server,
            address,
            content: self.job.content,
            sent: self.clock.now(),
        }
    }

    /// Waits in the queue for a second turn, after the rule for repeats allowed one.
    async fn wait_again(
        &self,
        ticket: Ticket<Sent>,
        attempts: &Attempts,
        hangup: &Hangup,
    ) -> Result<Start, Failure> {
        let ticket = if attempts.facts.written {
            ticket.retry(RetryPermit)
        } else {
            ticket.not_run(NotRun::NothingWritten)
        };
        let tried = attempts.tried.clone();
        let waiting = self.pool.requeue(ticket, self.job.need, tried);
        let start = self.wait_in_queue(waiting, hangup).await;
        start.map_err(|failure| match failure {
            // The queue knows nothing of the attempts before, and says that nothing ran.
            Failure::Refused(refusal) if attempts.facts.written => {
                Failure::Refused(refusal.may_have_run())
            }
            failure => failure,
        })
    }

    /// Like [`Exchange::claim`]; gives the server's slot back when the claim fails.
    async fn claim_for(&self, pick: &Pick) -> Result<Option<Claimed<'_>>, Failure> {
        let mut guard = AttemptGuard {
            pool: &self.pool,
            pick: Some(*pick),
        };
        reach(Point::Dispatched).await;
        let claimed = self.claim().await?;
        guard.pick = None;
        Ok(claimed)
    }

    async fn attempt(&self, pick: &Pick, address: SocketAddr, hangup: &Hangup) -> Attempted {
        let limits = SendLimits {
            head_timeout: self.head_timeout(pick),
            ..SendLimits::default()
        };
        let reuse = if self.job.need.idempotent {
            Reuse::Allowed
        } else {
            Reuse::Fresh
        };
        let mut request = self.job.request(address);
        request.insert_header("x-request-id", self.id);
        let mut guard = AttemptGuard {
            pool: &self.pool,
            pick: Some(*pick),
        };
        reach(Point::Claimed).await;
        // The process may have been stopped since the request got its turn. Nobody can use an answer
        // any more, and what runs now runs behind the back of a caller that has given up on it.
        if self.clock.now() >= self.job.arrival.deadline {
            guard.pick = None;
            return Attempted::Overdue;
        }
        // While the request waited, servers may have ended under others that ask the same.
        if let Err(refusal) = self.coordinator.suspects().admit(self.job.content) {
            return Attempted::Held(refusal);
        }
        let sent = std::pin::pin!(self.client.send(address, request, &limits, reuse));
        let gone = std::pin::pin!(hangup.wait());
        // Dropping the future cuts the connection, and with it the server's work.
        match select(sent, gone).await {
            Either::Left((Ok(answer), _)) => {
                reach(Point::Answered).await;
                guard.pick = None;
                Attempted::Answered(Box::new(answer))
            }
            Either::Left((Err(error), _)) => {
                guard.pick = None;
                Attempted::Failed(error)
            }
            Either::Right(_) => Attempted::Gone,
        }
    }

    /// How long the server may take to begin its answer.
    ///
    /// Never past the caller's own bound: the caller has left by then or is about to, and a server
    /// that hangs would hold a slot for nobody.
    fn head_timeout(&self, pick: &Pick) -> Millis {
        let bound = if self.job.stream {
            pick.first_byte_timeout
        } else {
            self.job.answer_timeout
        };
        let left = self.job.arrival.deadline.since(self.clock.now());
        bound.min(left.max(LEAST_TIMEOUT))
    }

    /// What a failed attempt says of its server. One that was ended by the caller's own bound says
    /// nothing: a caller with a short bound must not get servers ejected.
    fn outcome(&self, error: &SendError) -> Outcome {
        let overdue = self.clock.now() >= self.job.arrival.deadline;
        if overdue && matches!(error.kind, SendErrorKind::HeadTimeout) {
            return Outcome::Cancelled;
        }
        outcome_of_error(error)
    }

    /// Whether an answer is the server's failure rather than the request's, and a repeat is harmless.
    fn should_retry(&self, answer: &Answer) -> bool {
        self.job.need.idempotent && answer.status.is_server_error()
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

    fn relay(&self, answer: Answer, held: Held, pick: &Pick, run: SentRun) -> Response {
        let mut response = Response::new(answer.status);
        relay_headers(&answer.headers, response.as_mut());
        let settle = Settle::new(Watched {
            clock: self.clock,
            metrics: self.metrics.clone(),
            slots: Slots::new(self.pool.clone(), held.ticket, pick.attempt),
            permit: held.permit,
            arrived: self.arrived,
            stream: self.job.stream,
            failed: answer.status.is_server_error(),
            run,
            _running: held.running,
        });
        let content_type = response.content_type();
        response.set_body(answer.body.into_body(settle));
        // Setting a body sets its own type.
        if let Some(content_type) = content_type {
            response.set_content_type(content_type);
        }
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

enum Attempted {
    Answered(Box<Answer>),
    Failed(SendError),
    Gone,
    /// The caller's bound passed before a connection was opened.
    Overdue,
    /// It isn't sent, as servers ended under what it asks.
    Held(Refusal),
}

impl Attempts {
    fn new(job: &Job) -> Attempts {
        Attempts {
            facts: RequestFacts {
                idempotent: job.need.idempotent,
                relayed: false,
                written: false,
                attempts: 0,
                deadline: job.arrival.deadline,
            },
            tried: Vec::new(),
        }
    }
}
