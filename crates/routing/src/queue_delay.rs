//! How long a request waits at an engine before it is read, as one instance can tell.
//!
//! The load it answers: several instances send to the same engines, each sees a part of the requests,
//! and the engines' reports are late. What a request of one's own has waited tells the whole queue, the
//! others' part included, and it is at hand with the first token. Until the next such answer the queue
//! is taken to shrink; what was sent since then is added, and a request that is overdue says that the
//! queue is at least as long as it has waited.

use crocushold_base::Millis;

use crate::router::AttemptKey;
use crate::stats::Median;

/// What an idle engine takes to the first token beside the reading, in milliseconds: a step, and the
/// way there and back.
const BASE: f64 = 20.0;

/// How much of a queue that was seen is gone after as long a time. An engine that is fully used stands
/// still at 0, one that gets nothing more drains at 1.
const DRAIN: f64 = 0.5;

/// What is added to the wait at an engine that turned a request away, in milliseconds: about the time
/// in which a place comes free.
const REJECTED: f64 = 300.0;

/// How much earlier a request must have been sent than one whose answer has begun to count as read itself, in
/// milliseconds. Sent at the same time by different instances, they may overtake each other on their way.
const OVERTAKEN: Millis = Millis(50);

/// How far a server is believed to be behind at most for a request that is overdue, in milliseconds. The
/// instance that sent it may be gone, and nothing more come of it; nobody would send there to find out.
const MOST_OVERDUE: f64 = 500.0;

/// A request that is sent to be read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) attempt: AttemptKey,
    /// How long it takes to be read, in milliseconds.
    pub(crate) reading: f64,
    /// The wait that is expected before, in milliseconds.
    pub(crate) ahead: f64,
    /// Its rank in the server's queue; lower is sooner.
    pub(crate) rank: u8,
    /// Whether another instance chose the server, and tells of the request. Told twice, the queue would seem
    /// to be twice as long.
    pub(crate) told: bool,
}

/// A request that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    sent: Sent,
    since: Millis,
}

/// The wait at one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delay {
    waiting: Vec<Waiting>,
    /// The wait that was seen last, in milliseconds, and when.
    seen: f64,
    seen_at: Millis,
    /// Since when the server reads the prompt that is first in its queue.
    reads_since: Millis,
    /// What other instances have waiting there, in milliseconds of reading.
    others: f64,
}

impl Delay {
    /// A request was sent.
    pub(crate) fn sent(&mut self, sent: Sent, now: Millis) {
        if self.waiting.is_empty() {
            self.reads_since = now;
        }
        self.waiting.push(Waiting { sent, since: now });
    }

    /// The request's answer has begun; returns how long it took beyond what an idle engine takes.
    ///
    /// Engines read in the order of rank and arrival, so that those before it were read, too. Where nothing was
    /// heard of one, its instance is gone or the word was lost; kept, it would make the engine seem busy until
    /// its time is over.
    pub(crate) fn answered(&mut self, attempt: AttemptKey, now: Millis) -> Option<f64> {
        let Waiting { sent, since } = self.take(attempt)?;
        self.waiting
            .retain(|other| other.sent.rank > sent.rank || other.since + OVERTAKEN >= since);
        let span = now.since(since).0 as f64 - BASE;
        self.seen = (span - sent.reading).max(0.0);
        self.seen_at = now;
        self.reads_since = now;
        Some(span)
    }

    /// The request ended without an answer.
    pub(crate) fn ended(&mut self, attempt: AttemptKey) {
        self.take(attempt);
    }

    /// The engine turned a request away for lack of room.
    pub(crate) fn rejected(&mut self, now: Millis) {
        self.seen = self.left(now) + REJECTED;
        self.seen_at = now;
    }

    /// How long a request that is sent now waits before it is read, in milliseconds.
    pub(crate) fn estimate(&self, now: Millis) -> f64 {
        let overdue = self.overdue(now, |_| 0.0);
        self.left(now).max(overdue).max(self.others) + self.pending()
    }

    /// The same for a router that chooses for all instances: it knows all that waits and when each answer
    /// began, so that the queue is what was placed, less what was read of it since.
    ///
    /// A request that is overdue by its own expectation says how far the server is behind what is believed.
    pub(crate) fn exact(&self, now: Millis) -> f64 {
        self.others + self.ahead_of(u8::MAX, now)
    }

    /// How long a request of `rank` waits there behind those that this router placed, in milliseconds.
    pub(crate) fn ahead_of(&self, rank: u8, now: Millis) -> f64 {
        let ahead = self.waiting.iter().filter(|other| other.sent.rank <= rank);
        let ahead: f64 = ahead.map(|other| other.sent.reading).sum();
        let first = self.waiting.first().map_or(0.0, |first| first.sent.reading);
        let read = (now.since(self.reads_since).0 as f64).min(first);
        let overdue = self.overdue(now, |sent| sent.ahead).min(MOST_OVERDUE);
        (ahead - read).max(0.0) + overdue
    }

    /// By how much the request is late that is latest by its reading and what was `expected` before.
    fn overdue(&self, now: Millis, expected: impl Fn(&Sent) -> f64) -> f64 {
        let overdue = self.waiting.iter().map(|request| {
            let span = now.since(request.since).0 as f64;
            span - BASE - request.sent.reading - expected(&request.sent)
        });
        overdue.fold(0.0, f64::max)
    }

    /// How long the requests that this router placed and that have no answer yet take to be read, in
    /// milliseconds.
    pub(crate) fn pending(&self) -> f64 {
        let placed = self.waiting.iter().filter(|request| !request.sent.told);
        placed.map(|request| request.sent.reading).sum()
    }

    /// Other instances have this much waiting.
    pub(crate) fn take_others(&mut self, reading: f64) {
        self.others = reading;
    }

    fn left(&self, now: Millis) -> f64 {
        let span = now.since(self.seen_at).0 as f64;
        (self.seen - DRAIN * span).max(0.0)
    }

    fn take(&mut self, attempt: AttemptKey) -> Option<Waiting> {
        let place = self
            .waiting
            .iter()
            .position(|w| w.sent.attempt == attempt)?;
        Some(self.waiting.remove(place))
    }
}

/// The least and the greatest speed that is believed, in tokens a millisecond.
const SPEEDS: (f64, f64) = (2.0, 1000.0);

/// The speed that is assumed before any answer: low, so that the first estimates are cautious.
const FIRST_SPEED: f64 = 25.0;

/// Samples of fewer tokens measure the way, not the reading: at 50 tokens a millisecond an error of 10 ms
/// in [`BASE`] makes 540 tokens look as if they were read twice as fast or slow as they are, 1,500 by a third.
const LEAST_TOKENS: f64 = 1500.0;

/// How fast engines read, learned from answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed(Median);

impl Default for Speed {
    fn default() -> Speed {
        Speed(Median::from(FIRST_SPEED))
    }
}

impl Speed {
    /// An answer began `span` milliseconds after `tokens` were sent to be read, behind `ahead` others.
    ///
    /// The estimate follows the median of the samples. Those ahead are counted: without them each wait
    /// made an engine look slow, so that in a rush all prompts seemed to take twice their time. Nothing is
    /// to be learned from a request with a part that others may have had read at that engine: it
    /// makes the engine look four times as fast, reading again looks cheap, and more prompts are sent away
    /// from where they are kept.
    pub(crate) fn sample(&mut self, tokens: f64, ahead: f64, span: f64) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let speed = (tokens + ahead) / span.max(1.0);
        self.0.add(speed.clamp(SPEEDS.0, SPEEDS.1));
    }

    /// How long `tokens` take, in milliseconds.
    pub(crate) fn reading(&self, tokens: f64) -> f64 {
        tokens / self.tokens()
    }

    /// Tokens that are read in a millisecond.
    pub(crate) fn tokens(&self) -> f64 {
        self.0.get()
    }
}
