//! Observes a response while it is relayed to the caller, and settles the request when it ends.

use std::sync::Arc;

use crocushold_admission::Completion;
use crocushold_admission::Sent;
use crocushold_admission::Ticket;
use crocushold_base::Clock;
use crocushold_base::Millis;
use crocushold_http::AnswerEnd;
use crocushold_http::CutCause;
use crocushold_http::EventCounter;
use crocushold_http::Observer;
use crocushold_metrics::ClassMetrics;
use crocushold_metrics::GaugeGuard;
use crocushold_metrics::RequestEnd;
use crocushold_metrics::RequestRecord;
use crocushold_metrics::WasteCause;
use crocushold_routing::AttemptKey;
use crocushold_routing::Outcome;
use crocushold_routing::SURVIVAL;
use serde::Deserialize;

use crate::coordination::Permit;
use crate::failpoint::Point;
use crate::failpoint::pass;
use crate::pool::Pool;
use crate::sent_attempt::SentAttempt;

/// Tokens between two progress reports: frequent enough to detect a straggler, and rare enough that
/// the pool's lock isn't taken for each token.
const PROGRESS_TOKENS: u64 = 16;

/// Bytes kept of the end of a non-streamed response, which contains its token usage.
const TAIL_BYTES: usize = 2048;

/// The slots that a request holds in the scheduler and in the router while its response is relayed.
///
/// If a panic before the settlement leaked them, the server would appear to have one request more
/// forever, and take one less. Dropping this value releases them in all cases.
pub(crate) struct RequestSlots {
    pool: Arc<Pool>,
    ticket: Option<Ticket<Sent>>,
    attempt: AttemptKey,
}

impl RequestSlots {
    pub(crate) fn new(pool: Arc<Pool>, ticket: Ticket<Sent>, attempt: AttemptKey) -> RequestSlots {
        RequestSlots {
            pool,
            ticket: Some(ticket),
            attempt,
        }
    }

    fn progress(&self, tokens: u32) {
        let Some(ticket) = &self.ticket else {
            return;
        };
        self.pool.update(|state, now| {
            state.router.first_byte(self.attempt, now);
            state.router.progress(self.attempt, tokens, now);
            state.scheduler.progress(ticket, tokens, now);
        });
    }

    fn end(mut self, outcome: Outcome, completion: Completion) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        self.pool.update(|state, now| {
            let tokens = completion.output;
            state.router.done(self.attempt, outcome, tokens, now);
            state.scheduler.finish(ticket, completion, now);
        });
    }
}

impl Drop for RequestSlots {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.pool.end_attempt(self.attempt, Outcome::Cancelled, 0);
            self.pool.cancel(ticket.key());
        }
    }
}

/// What is needed to settle a request.
pub(crate) struct RequestContext {
    pub(crate) clock: Clock,
    pub(crate) metrics: ClassMetrics,
    pub(crate) slots: RequestSlots,
    pub(crate) permit: Permit,
    pub(crate) arrived: Millis,
    /// Whether the response is a stream of server-sent events.
    pub(crate) stream: bool,
    /// Whether the response's status is a failure of the server.
    pub(crate) failed: bool,
    /// The attempt, whose end is reported to the suspects.
    pub(crate) sent: SentAttempt,
    /// Counts the request as in flight until it is dropped.
    pub(crate) _running: GaugeGuard,
}

/// Settles a request exactly once, when its response ends for whatever reason.
pub(crate) struct ResponseObserver {
    context: Option<RequestContext>,
    counter: EventCounter,
    tail: Vec<u8>,
    first: Option<Millis>,
    /// When the first piece of the body arrived.
    writing: Option<Millis>,
    /// Whether the suspects know that the server went on after it began to write.
    survived: bool,
    reported: u64,
}

impl ResponseObserver {
    pub(crate) fn new(context: RequestContext) -> ResponseObserver {
        ResponseObserver {
            context: Some(context),
            counter: EventCounter::new(),
            tail: Vec::new(),
            first: None,
            writing: None,
            survived: false,
            reported: 0,
        }
    }

    /// Tells the suspects, once, that the server has gone on for long enough after it began to write.
    fn note_survival(&mut self) {
        let Some(context) = &self.context else {
            return;
        };
        let sent = &context.sent;
        if self.survived || context.failed || sent.content.parts.is_empty() {
            return;
        }
        let now = context.clock.now();
        let began = *self.writing.get_or_insert(now);
        if now.since(began) >= SURVIVAL {
            sent.on_survival(began);
            self.survived = true;
        }
    }

    fn record_first_token(&mut self) {
        let Some(context) = &self.context else {
            return;
        };
        let now = context.clock.now();
        self.first = Some(now);
        context
            .metrics
            .observe_first_token(now.since(context.arrived));
        self.report_progress(1);
    }

    fn report_progress(&mut self, tokens: u64) {
        let Some(context) = &self.context else {
            return;
        };
        self.reported = tokens;
        let count = u32::try_from(tokens).unwrap_or(u32::MAX);
        context.slots.progress(count);
    }

    fn keep_tail(&mut self, bytes: &[u8]) {
        let keep = &bytes[bytes.len().saturating_sub(TAIL_BYTES)..];
        let excess = (self.tail.len() + keep.len()).saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess.min(self.tail.len()));
        self.tail.extend_from_slice(keep);
    }

    /// Number of tokens of the response: as counted by the server, or else one per event.
    fn tokens(&self, stream: bool) -> u64 {
        let last = if stream {
            self.counter.last_event()
        } else {
            &self.tail
        };
        usage_in(last).unwrap_or(self.counter.events())
    }

    fn settle(&mut self, end: AnswerEnd) {
        let Some(context) = self.context.take() else {
            return;
        };
        let tokens = self.tokens(context.stream);
        let truncated = context.stream && !context.failed && !self.counter.is_done();
        let cut = match end {
            AnswerEnd::Cut { cause, .. } => Some(cause),
            AnswerEnd::Complete { .. } | AnswerEnd::Dropped { .. } => None,
        };
        let (outcome, end) = match end {
            AnswerEnd::Complete { .. } if context.failed => {
                (Outcome::Failed, RequestEnd::Completed)
            }
            AnswerEnd::Complete { .. } if truncated => (Outcome::Cut, RequestEnd::Cut),
            AnswerEnd::Complete { .. } => (Outcome::Complete, RequestEnd::Completed),
            // The time of the request has passed, which says nothing about the server.
            AnswerEnd::Cut {
                cause: CutCause::Overdue,
                ..
            } => (Outcome::Cancelled, RequestEnd::Cut),
            AnswerEnd::Cut { .. } => (Outcome::Cut, RequestEnd::Cut),
            AnswerEnd::Dropped { .. } => (Outcome::Cancelled, RequestEnd::Cancelled),
        };
        match cut {
            Some(cause) if cause.is_disconnect() => context.sent.on_cut(self.writing),
            None if end == RequestEnd::Completed && !context.failed => {
                context.sent.on_served(self.writing);
            }
            _ => {}
        }
        let record = self.record(&context, end, tokens);
        finish(context, outcome, &record);
    }

    fn record(&self, context: &RequestContext, end: RequestEnd, tokens: u64) -> RequestRecord {
        let now = context.clock.now();
        let first = self.first.filter(|_| context.stream);
        let token_gap = first
            .filter(|_| tokens > 1)
            .map(|first| Millis(now.since(first).0 / (tokens - 1)));
        RequestRecord {
            end,
            first_token: first.map(|first| first.since(context.arrived)),
            token_gap,
            whole: now.since(context.arrived),
            tokens,
        }
    }
}

fn finish(context: RequestContext, outcome: Outcome, record: &RequestRecord) {
    let count = u32::try_from(record.tokens).unwrap_or(u32::MAX);
    let completion = Completion {
        output: count,
        complete: record.end == RequestEnd::Completed,
    };
    let now = context.clock.now();
    let cause = match record.end {
        RequestEnd::Cut => Some(WasteCause::Cut),
        RequestEnd::Cancelled => Some(WasteCause::CallerGone),
        _ => None,
    };
    if let Some(cause) = cause {
        context.metrics.wasted(cause, record.tokens, record.whole);
    }
    context.metrics.finish(record, now);
    context.permit.settle(count, completion.complete);
    context.slots.end(outcome, completion);
}

impl Observer for ResponseObserver {
    fn chunk(&mut self, bytes: &[u8]) {
        self.note_survival();
        if self.context.as_ref().is_some_and(|context| !context.stream) {
            self.keep_tail(bytes);
            return;
        }
        self.counter.push(bytes);
        let events = self.counter.events();
        if self.first.is_none() && events > 0 {
            self.record_first_token();
        } else if events >= self.reported + PROGRESS_TOKENS {
            self.report_progress(events);
        }
    }

    fn end(&mut self, end: AnswerEnd) {
        pass(Point::Read);
        self.settle(end);
    }
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// The number of generated tokens in the usage object at the end of a response.
fn usage_in(tail: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(tail);
    let at = text.rfind("\"usage\"")?;
    let object = &text[at..][text[at..].find('{')?..];
    let mut values = serde_json::Deserializer::from_str(object).into_iter::<Usage>();
    let usage = values.next()?.ok()?;
    Some(usage.completion_tokens)
}
