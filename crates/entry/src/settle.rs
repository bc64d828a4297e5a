//! Watching an answer on its way to the caller, and settling the request at its end.

use std::sync::Arc;

use crocushold_admission::Completion;
use crocushold_admission::Sent;
use crocushold_admission::Ticket;
use crocushold_base::Clock;
use crocushold_base::Millis;
use crocushold_http::AnswerEnd;
use crocushold_http::EventCounter;
use crocushold_http::Observer;
use crocushold_metrics::ClassMetrics;
use crocushold_metrics::GaugeGuard;
use crocushold_metrics::RequestEnd;
use crocushold_metrics::RequestRecord;
use crocushold_metrics::WasteCause;
use crocushold_routing::AttemptKey;
use crocushold_routing::Outcome;
use serde::Deserialize;

use crate::coordination::Permit;
use crate::failpoint::Point;
use crate::failpoint::pass;
use crate::pool::Pool;
use crate::sent_run::SentRun;

/// Tokens between two reports of progress: often enough to see a straggler, seldom enough that the
/// pool's lock isn't taken for each token.
const REPORT_EVERY: u64 = 16;

/// Bytes kept of the end of an answer that isn't streamed; its usage stands there.
const TAIL_BYTES: usize = 2048;

/// The slots that a request holds at the scheduler and at the router while its answer is relayed.
///
/// A panic on the way to the settlement would leak them: the server would count one request more for
/// ever, and take one less. The drop gives them back wherever that happens.
pub(crate) struct Slots {
    pool: Arc<Pool>,
    ticket: Option<Ticket<Sent>>,
    attempt: AttemptKey,
}

impl Slots {
    pub(crate) fn new(pool: Arc<Pool>, ticket: Ticket<Sent>, attempt: AttemptKey) -> Slots {
        Slots {
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

impl Drop for Slots {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.pool.end_attempt(self.attempt, Outcome::Cancelled, 0);
            self.pool.cancel(ticket.key());
        }
    }
}

/// What is needed to settle a request.
pub(crate) struct Watched {
    pub(crate) clock: Clock,
    pub(crate) metrics: ClassMetrics,
    pub(crate) slots: Slots,
    pub(crate) permit: Permit,
    pub(crate) arrived: Millis,
    /// Whether the answer is a stream of server-sent events.
    pub(crate) stream: bool,
    /// Whether the answer's status is the server's own failure.
    pub(crate) failed: bool,
    /// What is told of its server.
    pub(crate) run: SentRun,
    /// Counts the request as in flight; held for its drop alone.
    pub(crate) _running: GaugeGuard,
}

/// Settles one request exactly once: at the end of its answer, whatever the end.
pub(crate) struct Settle {
    watched: Option<Watched>,
    counter: EventCounter,
    tail: Vec<u8>,
    first: Option<Millis>,
    reported: u64,
}

impl Settle {
    pub(crate) fn new(watched: Watched) -> Settle {
        Settle {
            watched: Some(watched),
            counter: EventCounter::new(),
            tail: Vec::new(),
            first: None,
            reported: 0,
        }
    }

    fn note_first(&mut self) {
        let Some(watched) = &self.watched else {
            return;
        };
        let now = watched.clock.now();
        self.first = Some(now);
        watched
            .metrics
            .observe_first_token(now.since(watched.arrived));
        self.report(1);
    }

    fn report(&mut self, tokens: u64) {
        let Some(watched) = &self.watched else {
            return;
        };
        self.reported = tokens;
        let count = u32::try_from(tokens).unwrap_or(u32::MAX);
        watched.slots.progress(count);
    }

    fn keep_tail(&mut self, bytes: &[u8]) {
        let keep = &bytes[bytes.len().saturating_sub(TAIL_BYTES)..];
        let excess = (self.tail.len() + keep.len()).saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess.min(self.tail.len()));
        self.tail.extend_from_slice(keep);
    }

    /// Tokens of the answer: as the server counted them, else one for each event.
    fn tokens(&self, stream: bool) -> u64 {
        let last = if stream {
            self.counter.last_event()
        } else {
            &self.tail
        };
        usage_in(last).unwrap_or(self.counter.events())
    }

    fn settle(&mut self, end: AnswerEnd) {
        let Some(watched) = self.watched.take() else {
            return;
        };
        let tokens = self.tokens(watched.stream);
        let truncated = watched.stream && !watched.failed && !self.counter.is_done();
        let cut = match end {
            AnswerEnd::Cut { cause, .. } => Some(cause),
            AnswerEnd::Complete { .. } | AnswerEnd::Dropped { .. } => None,
        };
        let (outcome, end) = match end {
            AnswerEnd::Complete { .. } if watched.failed => {
                (Outcome::Failed, RequestEnd::Completed)
            }
            AnswerEnd::Complete { .. } if truncated => (Outcome::Cut, RequestEnd::Cut),
            AnswerEnd::Complete { .. } => (Outcome::Complete, RequestEnd::Completed),
            AnswerEnd::Cut { .. } => (Outcome::Cut, RequestEnd::Cut),
            AnswerEnd::Dropped { .. } => (Outcome::Cancelled, RequestEnd::Cancelled),
        };
        match cut {
            Some(cause) if cause.is_disconnect() => watched.run.cut(),
            None if end == RequestEnd::Completed && !watched.failed => watched.run.served(),
            _ => {}
        }
        let record = self.record(&watched, end, tokens);
        finish(watched, outcome, &record);
    }

    fn record(&self, watched: &Watched, end: RequestEnd, tokens: u64) -> RequestRecord {
        let now = watched.clock.now();
        let first = self.first.filter(|_| watched.stream);
        let token_gap = first
            .filter(|_| tokens > 1)
            .map(|first| Millis(now.since(first).0 / (tokens - 1)));
        RequestRecord {
            end,
            first_token: first.map(|first| first.since(watched.arrived)),
            token_gap,
            whole: now.since(watched.arrived),
            tokens,
        }
    }
}

fn finish(watched: Watched, outcome: Outcome, record: &RequestRecord) {
    let count = u32::try_from(record.tokens).unwrap_or(u32::MAX);
    let completion = Completion {
        output: count,
        complete: record.end == RequestEnd::Completed,
    };
    let now = watched.clock.now();
    let cause = match record.end {
        RequestEnd::Cut => Some(WasteCause::Cut),
        RequestEnd::Cancelled => Some(WasteCause::CallerGone),
        _ => None,
    };
    if let Some(cause) = cause {
        watched.metrics.wasted(cause, record.tokens, record.whole);
    }
    watched.metrics.finish(record, now);
    watched.permit.settle(count, completion.complete);
    watched.slots.end(outcome, completion);
}

impl Observer for Settle {
    fn chunk(&mut self, bytes: &[u8]) {
        if self.watched.as_ref().is_some_and(|watched| !watched.stream) {
            self.keep_tail(bytes);
            return;
        }
        self.counter.push(bytes);
        let events = self.counter.events();
        if self.first.is_none() && events > 0 {
            self.note_first();
        } else if events >= self.reported + REPORT_EVERY {
            self.report(events);
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

/// The count of generated tokens in the usage object that ends an answer.
fn usage_in(tail: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(tail);
    let at = text.rfind("\"usage\"")?;
    let object = &text[at..][text[at..].find('{')?..];
    let mut values = serde_json::Deserializer::from_str(object).into_iter::<Usage>();
    let usage = values.next()?.ok()?;
    Some(usage.completion_tokens)
}
