//! Watching an answer on its way to the caller, and settling the request at its end.

use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_http::CutCause;
use crocushold_http::End;
use crocushold_http::EventCounter;
use crocushold_http::Observer;
use crocushold_routing::Outcome;
use log::info;

use crate::fleet::Choice;
use crate::quarantine::run_cut;
use crate::quarantine::served;
use crate::record::Record;
use crate::shared::Shared;

/// Events that a stream must have had for its pauses to tell something.
const LEAST_EVENTS: u64 = 6;

/// Settles one request exactly once, at the end of its answer, whatever the end.
pub(crate) struct Settle {
    pub(crate) shared: Arc<Shared>,
    pub(crate) record: Record,
    pub(crate) choice: Choice,
    /// What the head of the answer says of the server.
    pub(crate) outcome: Outcome,
    pub(crate) status: u16,
    pub(crate) headed: Millis,
    pub(crate) counter: EventCounter,
    pub(crate) pauses: Pauses,
}

/// The pauses between the events of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pauses {
    last: Millis,
    longest: Millis,
}

impl Pauses {
    /// The first event came at `now`, with the head of the answer or soon after it.
    pub(crate) fn from(now: Millis) -> Pauses {
        Pauses {
            last: now,
            longest: Millis::ZERO,
        }
    }

    fn event(&mut self, now: Millis) {
        self.longest = self.longest.max(now.since(self.last));
        self.last = now;
    }
}

impl Observer for Settle {
    fn chunk(&mut self, bytes: &[u8]) {
        if self.record.repeat.is_stream() {
            let before = self.counter.events();
            self.counter.push(bytes);
            if self.counter.events() > before {
                self.pauses.event(self.shared.clock.now());
            }
        }
    }

    fn end(&mut self, end: End) {
        let now = self.shared.clock.now();
        let (outcome, label, bytes) = match end {
            End::Complete { bytes } => (self.outcome, "answered", bytes),
            // The request's own time was over; that says nothing of the server.
            End::Cut {
                bytes,
                cause: CutCause::Overdue,
            } => (Outcome::Cancelled, "overdue", bytes),
            End::Cut { bytes, .. } => (Outcome::Cut, "cut-by-server", bytes),
            End::Dropped { bytes } => (Outcome::Cancelled, "caller-gone", bytes),
        };
        let content = self.record.content;
        match end {
            End::Complete { .. } if self.outcome == Outcome::Complete => {
                served(&self.shared, content);
            }
            End::Cut { cause, .. } if cause.is_break() => {
                run_cut(&self.shared, &self.choice, content);
            }
            _ => {}
        }
        let events = self.counter.events();
        let tokens = u32::try_from(events).unwrap_or(u32::MAX);
        let pause = Some(self.pauses.longest).filter(|_| events >= LEAST_EVENTS);
        self.shared.done(&self.choice, outcome, tokens, pause);
        let record = &self.record;
        let report = &self.shared.report;
        let label = if end_is_failure(&end, self.outcome) {
            "server-error"
        } else {
            label
        };
        report.ended(record.repeat.label(), record.priority, label);
        if record.repeat.is_stream() && events == 0 {
            report.unanswered(record.priority, label);
        }
        let span = now.since(record.arrived);
        report.answered(record.repeat.label(), record.priority, "end", span);
        let source = record.source.map(|source| source.to_string());
        let event = record
            .ended(&self.shared, label)
            .with("server", &self.choice.id)
            .with("prefix", format!("{:x}", record.prefix.unwrap_or(0)))
            .with("source", source.as_deref().unwrap_or("none"))
            .with("status", self.status)
            .with("first", self.headed.since(record.arrived))
            .with("events", events)
            .with("longest-pause", self.pauses.longest)
            .with("most-tokens", record.output)
            .with("bytes", bytes);
        info!("{event}");
    }
}

fn end_is_failure(end: &End, outcome: Outcome) -> bool {
    matches!(end, End::Complete { .. }) && outcome != Outcome::Complete
}
