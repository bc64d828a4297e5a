//! Observes an answer while it is relayed to the caller, and finishes the request at its end.

use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_http::AnswerEnd;
use crocushold_http::CutCause;
use crocushold_http::EventCounter;
use crocushold_http::Observer;
use crocushold_routing::Outcome;
use crocushold_routing::SURVIVAL;
use log::info;

use crate::exchange::PeerGuard;
use crate::fleet::Choice;
use crate::quarantine::Answering;
use crate::quarantine::CutRun;
use crate::quarantine::parts_survived;
use crate::quarantine::run_cut;
use crate::quarantine::served;
use crate::record::RequestRecord;
use crate::shared::Shared;

/// Minimum number of events for the pauses of a stream to be meaningful.
const MIN_EVENTS: u64 = 6;

/// Finishes a request exactly once, however its answer ends.
pub(crate) struct AnswerObserver {
    pub(crate) shared: Arc<Shared>,
    pub(crate) record: RequestRecord,
    pub(crate) upstream: Upstream,
    pub(crate) status: u16,
    pub(crate) head_at: Millis,
    /// When the first piece of the body arrived.
    pub(crate) writing: Option<Millis>,
    /// Whether the quarantine knows that the server went on after it began to write.
    pub(crate) survived: bool,
    /// What delimits the answer.
    pub(crate) delimiter: &'static str,
    pub(crate) counter: EventCounter,
    pub(crate) pauses: PauseTracker,
}

/// Where an answer comes from.
pub(crate) enum Upstream {
    /// A server, and the outcome for it according to the head of the answer.
    Server(Choice, Outcome),
    /// Another instance, which knows the server and records the outcome itself.
    Peer(PeerGuard),
}

/// Tracks the pauses between the events of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PauseTracker {
    last: Millis,
    longest: Millis,
}

impl PauseTracker {
    /// Starts at `now`. The first event arrives with the head of the answer or shortly after it.
    pub(crate) fn from(now: Millis) -> PauseTracker {
        PauseTracker {
            last: now,
            longest: Millis::ZERO,
        }
    }

    fn event(&mut self, now: Millis) {
        self.longest = self.longest.max(now.since(self.last));
        self.last = now;
    }
}

impl Observer for AnswerObserver {
    fn chunk(&mut self, bytes: &[u8]) {
        self.note_survival();
        if self.record.repeat.is_stream() {
            let before = self.counter.events();
            self.counter.push(bytes);
            if self.counter.events() > before {
                self.pauses.event(self.shared.clock.now());
            }
        }
    }

    fn end(&mut self, end: AnswerEnd) {
        let now = self.shared.clock.now();
        let (label, bytes) = match end {
            AnswerEnd::Complete { bytes } if self.is_failure() => ("server-error", bytes),
            AnswerEnd::Complete { bytes } => ("answered", bytes),
            // The deadline of the request passed, which says nothing about the server.
            AnswerEnd::Cut {
                bytes,
                cause: CutCause::Overdue,
            } => ("overdue", bytes),
            AnswerEnd::Cut { bytes, .. } => ("cut-by-server", bytes),
            AnswerEnd::Dropped { bytes } => ("caller-gone", bytes),
        };
        if let Upstream::Server(choice, outcome) = &self.upstream {
            self.report(end, choice, *outcome);
        }
        let events = self.counter.events();
        let record = &self.record;
        self.count(label, events, now);
        self.shared.metrics.count_end(self.delimiter, end.label());
        let (server, software, peer) = match &self.upstream {
            Upstream::Server(choice, _) => (&*choice.id, &*choice.software, None),
            Upstream::Peer(guard) => ("none", "none", Some(guard.peer.to_string())),
        };
        let source = record.source.map(|source| source.to_string());
        let event = record
            .end_event(&self.shared, label)
            .with("server", server)
            .with("software", software)
            .with("relay", peer.as_deref().unwrap_or("none"))
            .with("prefix", format!("{:x}", record.prefix.unwrap_or(0)))
            .with("source", source.as_deref().unwrap_or("none"))
            .with("status", self.status)
            .with("delimiter", self.delimiter)
            .with("end", end.label())
            .with("first", self.head_at.since(record.arrived))
            .with("events", events)
            .with("longest-pause", self.pauses.longest)
            .with("most-tokens", record.max_output_tokens)
            .with("bytes", bytes);
        info!("{event}");
    }
}

impl AnswerObserver {
    /// Tells the quarantine, once, that the server has gone on for long enough after it began to write.
    fn note_survival(&mut self) {
        let Upstream::Server(..) = &self.upstream else {
            return;
        };
        if self.survived || self.record.content.parts.is_empty() || self.is_failure() {
            return;
        }
        let now = self.shared.clock.now();
        let began = *self.writing.get_or_insert(now);
        if now.since(began) >= SURVIVAL {
            self.survived = true;
            parts_survived(&self.shared, &self.record.content, began);
        }
    }

    /// Whether a complete answer reports a failure.
    fn is_failure(&self) -> bool {
        match &self.upstream {
            Upstream::Server(_, outcome) => *outcome != Outcome::Complete,
            Upstream::Peer(_) => self.status >= 500,
        }
    }

    /// Reports the end of an answer of a server, whose head gave `outcome`.
    fn report(&self, end: AnswerEnd, choice: &Choice, outcome: Outcome) {
        let content = &self.record.content;
        match end {
            AnswerEnd::Complete { .. } if outcome == Outcome::Complete => {
                served(&self.shared, content, self.writing.unwrap_or(self.head_at));
            }
            AnswerEnd::Cut { cause, .. } if cause.is_disconnect() => {
                let cut = CutRun {
                    request: &self.record.id,
                    content,
                    answering: Some(Answering {
                        since: self.head_at,
                        writing: self.writing,
                        events: self.counter.events(),
                    }),
                };
                run_cut(&self.shared, choice, &cut);
            }
            _ => {}
        }
        let outcome = match end {
            AnswerEnd::Complete { .. } => outcome,
            AnswerEnd::Cut { cause, .. } if cause != CutCause::Overdue => Outcome::Cut,
            AnswerEnd::Cut { .. } | AnswerEnd::Dropped { .. } => Outcome::Cancelled,
        };
        let events = self.counter.events();
        let tokens = u32::try_from(events).unwrap_or(u32::MAX);
        let pause = Some(self.pauses.longest).filter(|_| events >= MIN_EVENTS);
        self.shared.done(choice, outcome, tokens, pause);
    }

    fn count(&self, label: &str, events: u64, now: Millis) {
        let record = &self.record;
        let metrics = &self.shared.metrics;
        if record.entry.is_some() {
            metrics.count_relayed("in", label);
            return;
        }
        let repeat = record.repeat.label();
        metrics.request_ended(repeat, record.priority, label);
        if record.repeat.is_stream() && events == 0 {
            metrics.count_unanswered(record.priority, label);
        }
        let duration = now.since(record.arrived);
        metrics.observe_latency(repeat, record.priority, "end", duration);
    }
}
