//! One request, from its choice of a server to the head of its answer.

use std::net::SocketAddr;
use std::sync::Arc;

use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_http::Answer;
use crocushold_http::EventCounter;
use crocushold_http::Hangup;
use crocushold_http::Reuse;
use crocushold_http::SendError;
use crocushold_http::SendErrorKind;
use crocushold_http::SendLimits;
use crocushold_http::relay_headers;
use crocushold_routing as routing;
use crocushold_routing::Decision;
use crocushold_routing::NoServer;
use crocushold_routing::Outcome;
use crocushold_routing::RequestFacts;
use crocushold_routing::Stage;
use futures::future::Either;
use futures::future::select;
use http_types::Response;
use http_types::headers::CONTENT_TYPE;
use log::info;

use crate::answer_observer::Pauses;
use crate::answer_observer::Settle;
use crate::fleet::Choice;
use crate::intake::Job;
use crate::placement::NoAdvice;
use crate::placement::PlacementVerdict;
use crate::placement::Question;
use crate::protocol::AnswerMeta;
use crate::protocol::Forward;
use crate::quarantine::run_cut;
use crate::record::Record;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::shared::Shared;
use crate::verdict::Verdict;
use crate::verdict::judge;
use crate::verdict::outcome_of;
use crate::verdict::outcome_of_verdict;
use crate::verdict::stage_of;

/// For opening a connection: some hundred times a round trip between availability zones. A server
/// without power doesn't answer, and the request goes elsewhere while its target can still be met.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// The least time for an attempt whose request is at its bound already.
const LEAST_TIMEOUT: Millis = Millis(1);

/// When to come back at least, where the servers had no room: about the time in which a request ends.
const ROOM_RETRY: Millis = Millis(500);

/// How a request ended before an answer could be passed on.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The caller gets this final answer.
    Refused(Refusal),
    /// The caller hung up; there is nobody to answer.
    CallerGone,
}

/// One request on its way.
pub(crate) struct Exchange<'a> {
    shared: &'a Arc<Shared>,
    job: &'a Job,
    facts: RequestFacts,
    /// Servers to which a byte of it was sent.
    sent: u32,
    /// The wait that was expected at the last choice.
    wait: Millis,
    /// Whence the last choice was to bring the shared part.
    source: Option<SocketAddr>,
    /// Tokens that the server was expected to read, at the last choice.
    read: u32,
    /// Which other instance made the last choice.
    placer: Option<SocketAddr>,
    tried: Vec<ServerKey>,
}

/// How one attempt ended.
enum Attempted {
    Answered(Box<Answer>, Box<AnswerMeta>),
    Failed(SendError),
    CallerGone,
}

/// What comes after an attempt.
enum Next {
    Relay(Box<Answer>, Verdict),
    /// It goes to another server.
    Again,
    /// Nothing that can be passed on: whether it may be sent again is asked.
    CheckRetry(Stage, Reason),
    Gone,
}

/// Gives the slot back when the attempt is dropped, which is how a cut connection ends it.
struct Held<'a> {
    shared: &'a Shared,
    choice: Option<Choice>,
}

impl Held<'_> {
    fn done(&mut self, outcome: Outcome) {
        if let Some(choice) = self.choice.take() {
            self.shared.done(&choice, outcome, 0, None);
        }
    }
}

impl Drop for Held<'_> {
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
                deadline: job.ends,
            },
            sent: 0,
            wait: Millis::ZERO,
            source: None,
            read: 0,
            placer: None,
            tried: Vec::new(),
        }
    }

    /// Sends the request, repeatedly where that is allowed, and returns the answer with its body
    /// still to be relayed.
    ///
    /// # Errors
    ///
    /// The final refusal, or that the caller is gone.
    pub(crate) async fn run(&mut self, hangup: &Hangup) -> Result<Response, Failure> {
        loop {
            let choice = self.choose().await?;
            self.facts.attempts += 1;
            self.tried.push(choice.server);
            let mut held = Held {
                shared: self.shared,
                choice: Some(choice.clone()),
            };
            let attempted = self.attempt(&choice, hangup).await;
            let next = self.review(attempted, &choice, &mut held);
            match next {
                Next::Gone => return Err(Failure::CallerGone),
                Next::Relay(answer, verdict) => {
                    held.choice = None;
                    return Ok(self.relay(*answer, verdict, choice));
                }
                Next::Again => {}
                Next::CheckRetry(stage, reason) => self.ask(stage, reason)?,
            }
        }
    }

    async fn choose(&mut self) -> Result<Choice, Failure> {
        let now = self.shared.clock.now();
        if now >= self.job.ends {
            return Err(Failure::Refused(self.give_up(Reason::Overdue, None)));
        }
        self.admit(now)?;
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
        self.wait = choice.wait;
        self.source = choice.source;
        self.read = choice.read;
        self.placer = choice.ticket.map(|ticket| ticket.placer);
        Ok(choice)
    }

    /// A request under which servers ended isn't sent on. Each try would end the next one, with all that runs there.
    fn admit(&self, now: Millis) -> Result<(), Failure> {
        let admitted = self.shared.quarantine().admit(self.job.content, now);
        admitted.map_err(|held| {
            Failure::Refused(self.give_up(Reason::Quarantined, Some(held.retry_after)))
        })
    }

    /// What the instance that places for all says; `None` where this one chooses by itself: the request is no
    /// engine's, there is no answer, or it isn't of use here.
    async fn ask_placer(&self, now: Millis) -> Option<Result<Choice, NoServer>> {
        let need = &self.job.need;
        if need.unique_tokens == 0 {
            return None;
        }
        let question = Question {
            need,
            zone: &self.shared.settings.zone,
            remaining: self.job.ends.since(now),
            tried: self.shared.fleet().hashes_of(&self.tried),
            now,
        };
        let advice = self.shared.placing.ask(question).await;
        let report = &self.shared.report;
        let (ticket, advice) = match advice {
            Ok(advice) => advice,
            Err(NoAdvice::Nobody) => return None,
            Err(NoAdvice::Silent) => {
                report.placement("silent");
                return None;
            }
        };
        let now = self.shared.clock.now();
        match advice {
            PlacementVerdict::Placed(place) => {
                let adopted = self.shared.fleet().adopt(need, &place, &self.tried, now);
                report.placement(if adopted.is_some() {
                    "placed"
                } else {
                    "not-taken"
                });
                if adopted.is_none() {
                    self.shared.placing.unused(ticket);
                }
                adopted.map(|mut choice| {
                    choice.ticket = Some(ticket);
                    Ok(choice)
                })
            }
            PlacementVerdict::Late { wait, retry_delay } => {
                report.placement("late");
                Some(Err(NoServer {
                    reason: routing::Reason::Late { wait },
                    retry_after: retry_delay,
                }))
            }
            PlacementVerdict::Unable => {
                report.placement("unable");
                None
            }
        }
    }

    fn no_server(&mut self, none: &NoServer) -> Refusal {
        let reason = match none.reason {
            routing::Reason::Busy => Reason::Busy,
            routing::Reason::Late { wait } => {
                self.wait = wait;
                Reason::Late
            }
            routing::Reason::Cold => Reason::Cold,
            routing::Reason::Region => Reason::Region,
            routing::Reason::Tried => Reason::Rejected,
            _ => Reason::NoServer,
        };
        let span = match reason {
            Reason::Late => none.retry_after,
            _ => none.retry_after.max(ROOM_RETRY),
        };
        self.give_up(reason, Some(span))
    }

    /// The refusal of a request that is given up on. Where it may have run, no reason promises that it
    /// didn't.
    fn give_up(&self, reason: Reason, retry_after: Option<Millis>) -> Refusal {
        if self.facts.written {
            return Refusal::new(Reason::ServerFailed);
        }
        Refusal {
            reason,
            retry_after,
        }
    }

    async fn attempt(&mut self, choice: &Choice, hangup: &Hangup) -> Attempted {
        let job = self.job;
        let remaining = job.ends.since(self.shared.clock.now()).max(LEAST_TIMEOUT);
        let limits = SendLimits {
            connect_timeout: CONNECT_TIMEOUT.min(remaining),
            write_timeout: remaining,
            head_timeout: remaining,
            // A silent server may still be at work; the request's own time bounds the wait.
            stall_timeout: remaining,
            close_delimited: true,
        };
        let reuse = if job.need.idempotent {
            Reuse::Allowed
        } else {
            Reuse::Fresh
        };
        let mut request = job.request(choice.address);
        let forward = Forward {
            server: &choice.id,
            account: job.account.as_deref(),
            remaining,
            priority: job.need.priority,
            ranked: choice.engine,
            source: choice.source,
        };
        self.shared.protocol.forward(request.as_mut(), &forward);
        let sent = std::pin::pin!(
            self.shared
                .client
                .send(choice.address, request, &limits, reuse)
        );
        let gone = std::pin::pin!(hangup.wait());
        // Dropping the future cuts the connection, and with it the server's work.
        match select(sent, gone).await {
            Either::Left((Ok(mut answer), _)) => {
                let remaining = job.ends.since(self.shared.clock.now()).max(LEAST_TIMEOUT);
                answer.body.end_within(remaining);
                let meta = self.shared.protocol.answer(answer.status, &answer.headers);
                Attempted::Answered(Box::new(answer), Box::new(meta))
            }
            Either::Left((Err(error), _)) => Attempted::Failed(error),
            Either::Right(_) => Attempted::CallerGone,
        }
    }

    /// Judges an attempt, tells the fleet, and says what comes next.
    fn review(&mut self, attempted: Attempted, choice: &Choice, held: &mut Held<'_>) -> Next {
        match attempted {
            Attempted::CallerGone => Next::Gone,
            Attempted::Failed(error) => {
                let stage = stage_of(&error);
                held.done(outcome_of(&error));
                self.note(choice, stage, &error.to_string());
                if error.is_break() {
                    run_cut(self.shared, choice, self.job.content);
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
                Next::CheckRetry(stage, reason)
            }
            Attempted::Answered(answer, meta) => self.review_answer(answer, &meta, choice, held),
        }
    }

    fn review_answer(
        &mut self,
        answer: Box<Answer>,
        meta: &AnswerMeta,
        choice: &Choice,
        held: &mut Held<'_>,
    ) -> Next {
        let now = self.shared.clock.now();
        if let Some(load) = meta.load {
            self.shared.fleet().load(choice, load, now);
        }
        let verdict = judge(answer.status, meta, &self.job.id, self.job.need.idempotent);
        match verdict {
            Verdict::Good => {
                self.sent += 1;
                self.shared.first_byte(choice, meta.load);
                self.shared.report.attempt("answered");
                Next::Relay(answer, verdict)
            }
            Verdict::Failed => {
                self.note(choice, Stage::Answered, "the server failed");
                // The answer in hand is worth more than none, so it is given up only for a repeat.
                if self.may_repeat(Stage::Answered).is_ok() {
                    held.done(Outcome::Failed);
                    return Next::Again;
                }
                Next::Relay(answer, verdict)
            }
            Verdict::Rejected | Verdict::Misdirected => {
                held.done(outcome_of_verdict(verdict));
                self.note(choice, Stage::Rejected, "the server didn't run it");
                Next::CheckRetry(Stage::Rejected, Reason::Rejected)
            }
            Verdict::Bad => {
                held.done(outcome_of_verdict(verdict));
                self.note(choice, Stage::Answered, "not an answer to this request");
                Next::CheckRetry(Stage::Answered, Reason::BadAnswer)
            }
        }
    }

    /// Whether the request may be sent again after an attempt that came to `stage`.
    fn may_repeat(&mut self, stage: Stage) -> Result<(), Refusal> {
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
                    let span = retry_after.map(|span| span.max(ROOM_RETRY));
                    Err(self.give_up(Reason::BudgetSpent, span))
                }
            };
        }
        Err(self.give_up(Reason::Rejected, Some(ROOM_RETRY)))
    }

    fn ask(&mut self, stage: Stage, reason: Reason) -> Result<(), Failure> {
        let refused = self.may_repeat(stage);
        refused.map_err(|refusal| {
            Failure::Refused(if !stage.proves_not_run() {
                Refusal::new(reason)
            } else if self.facts.written {
                // This send didn't run, but one before it may have. The reason of this one would say
                // that nothing ran.
                Refusal::new(Reason::ServerFailed)
            } else {
                refusal
            })
        })
    }

    /// Counts and logs an attempt that brought nothing to pass on.
    fn note(&mut self, choice: &Choice, stage: Stage, cause: &str) {
        if !stage.proves_unsent() {
            self.sent += 1;
        }
        self.facts.written |= !stage.proves_not_run();
        self.shared.report.attempt(label(stage));
        let event = Event::new("attempt-failed")
            .with("request", &self.job.id)
            .with("content", self.shared.content_names.name(self.job.content))
            .with("server", &choice.id)
            .with("stage", label(stage))
            .with("attempt", self.facts.attempts)
            .with("cause", cause);
        info!("{event}");
    }

    fn relay(&self, answer: Answer, verdict: Verdict, choice: Choice) -> Response {
        let now = self.shared.clock.now();
        let record = self.record();
        let label = record.repeat.label();
        let span = now.since(record.arrived);
        let report = &self.shared.report;
        report.answered(label, record.priority, "head", span);
        let mut response = Response::new(answer.status);
        relay_headers(&answer.headers, response.as_mut());
        let settle = Settle {
            shared: self.shared.clone(),
            record,
            choice,
            outcome: outcome_of_verdict(verdict),
            status: answer.status.into(),
            headed: now,
            counter: EventCounter::new(),
            pauses: Pauses::from(now),
        };
        let content_type = answer.headers.get(CONTENT_TYPE).cloned();
        response.set_body(answer.body.into_body(settle));
        // Setting a body sets its own type.
        match content_type {
            Some(values) => response.insert_header(CONTENT_TYPE, &values),
            None => response.remove_header(CONTENT_TYPE),
        };
        response
    }

    /// What is kept of the request.
    pub(crate) fn record(&self) -> Record {
        Record {
            id: self.job.id.clone(),
            route: self.job.route.clone(),
            content: self.job.content,
            account: self.job.account.clone(),
            repeat: self.job.repeat,
            priority: self.job.need.priority,
            version: self.job.version,
            arrived: self.job.arrived,
            attempts: self.facts.attempts,
            output: self.job.need.max_output_tokens,
            prefix: self.job.need.prefix,
            source: self.source,
            wait: self.wait,
            limit: self.job.need.wait_limit,
            read: self.read,
            placer: self.placer,
        }
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
