//! Estimates how long a request waits at an engine before its prefill starts, from what one
//! instance observes.
//!
//! Several instances send to the same engines, each sees only a part of the requests, and the
//! engines' load reports are late. The wait that one of this instance's own requests experienced
//! covers the whole queue, including other instances' requests, and is known at its first token.
//! Until the next such sample, the queue is assumed to drain, requests sent since are added, and an
//! overdue request shows that the queue is at least as long as that request has waited.

use crocushold_base::Millis;

use crate::router::AttemptKey;
use crate::stats::Median;

/// Time to first token of an idle engine excluding prefill, in milliseconds: one engine step and
/// the network round trip.
pub(crate) const BASE_LATENCY: f64 = 20.0;

/// How fast an observed queue is assumed to drain, in milliseconds per millisecond. The queue of a
/// fully used engine drains at 0, that of an engine that receives no more requests at 1.
const DRAIN_RATE: f64 = 0.5;

/// Added to the wait at an engine that rejected a request, in milliseconds. A slot frees up in
/// about this time.
const REJECTION_WAIT: f64 = 300.0;

/// How much earlier than an answered request another one must have been sent to count as prefilled
/// too. Requests that different instances send at the same time may overtake each other on the
/// network.
const REORDER_TOLERANCE: Millis = Millis(50);

/// Maximum lag attributed to a server because of an overdue request, in milliseconds. The instance
/// that sent the request may be gone, so that no answer is ever reported. With a larger value
/// nobody would send to the server again to find out.
const MAX_OVERDUE: f64 = 500.0;

/// A request sent to an engine for prefill.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedPrompt {
    pub(crate) attempt: AttemptKey,
    /// Usual duration of its prefill at the server, in milliseconds.
    pub(crate) prefill_ms: f64,
    /// Expected wait before its prefill, in milliseconds, and what the prefill is expected to take
    /// beyond its usual duration.
    pub(crate) expected_wait: f64,
    /// Expected time to first token excluding prefill and wait, in milliseconds.
    pub(crate) latency: f64,
    /// Its priority in the server's queue; lower values go first.
    pub(crate) priority: u8,
    /// Whether another instance chose the server and reports the request itself. If both reported
    /// it, the queue would appear twice as long.
    pub(crate) remote: bool,
}

impl QueuedPrompt {
    /// How long the server prefills the next prompt before the first token of this one arrives, in
    /// milliseconds.
    fn overlap(&self) -> f64 {
        (self.latency - BASE_LATENCY).max(0.0)
    }
}

/// A request without an answer yet.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    sent: QueuedPrompt,
    since: Millis,
}

/// The queueing delay at one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueDelay {
    waiting: Vec<Waiting>,
    /// The most recently observed wait, in milliseconds, and when it was observed.
    last_wait: f64,
    last_wait_at: Millis,
    /// When the server started the prefill of the first prompt in its queue.
    prefill_since: Millis,
    /// Pending prefill of other instances' requests, in milliseconds.
    remote_pending: f64,
}

impl QueueDelay {
    /// Records that a request was sent.
    pub(crate) fn on_sent(&mut self, sent: QueuedPrompt, now: Millis) {
        if self.waiting.is_empty() {
            self.prefill_since = now;
        }
        self.waiting.push(Waiting { sent, since: now });
    }

    /// Records that the request's answer has begun. Returns the request and the time this took, in
    /// milliseconds.
    ///
    /// Engines prefill by priority and then in order of arrival, so the requests ahead of this one
    /// have been prefilled as well. If no answer was reported for one of them, its instance is gone
    /// or the report was lost. Keeping it would make the engine seem busy until the request's
    /// deadline.
    pub(crate) fn on_first_byte(
        &mut self,
        attempt: AttemptKey,
        now: Millis,
    ) -> Option<(QueuedPrompt, f64)> {
        let Waiting { sent, since } = self.remove(attempt)?;
        self.waiting.retain(|other| {
            other.sent.priority > sent.priority || other.since + REORDER_TOLERANCE >= since
        });
        let span = now.since(since).0 as f64;
        self.last_wait = (span - sent.latency - sent.prefill_ms).max(0.0);
        self.last_wait_at = now;
        self.prefill_since = Millis(now.0.saturating_sub(sent.overlap() as u64));
        Some((sent, span))
    }

    /// Records that the request ended without an answer.
    pub(crate) fn on_end(&mut self, attempt: AttemptKey) {
        self.remove(attempt);
    }

    /// Records that the engine rejected a request for lack of capacity.
    pub(crate) fn on_rejection(&mut self, now: Millis) {
        self.last_wait = self.remaining_wait(now) + REJECTION_WAIT;
        self.last_wait_at = now;
    }

    /// Returns how long a request sent now waits before its prefill, in milliseconds, if work takes
    /// `pace` times as long as usual.
    pub(crate) fn estimate(&self, pace: f64, now: Millis) -> f64 {
        let overdue = self.overdue(now, |_| 0.0);
        self.remaining_wait(now)
            .max(overdue)
            .max(self.remote_pending * pace)
            + self.pending() * pace
    }

    /// Like `estimate`, for a router that chooses for all instances. It knows every waiting request
    /// and when each answer began, so the queue is what it placed less what has been prefilled
    /// since.
    ///
    /// A request that is overdue by its own estimate shows how far the server lags behind the
    /// estimate.
    pub(crate) fn central_estimate(&self, pace: f64, now: Millis) -> f64 {
        self.remote_pending * pace + self.wait_at_priority(u8::MAX, pace, now)
    }

    /// Returns how long a request of priority `priority` waits behind the requests that this router
    /// placed, in milliseconds, if work takes `pace` times as long as usual.
    pub(crate) fn wait_at_priority(&self, priority: u8, pace: f64, now: Millis) -> f64 {
        let ahead = self
            .waiting
            .iter()
            .filter(|other| other.sent.priority <= priority);
        let ahead: f64 = ahead.map(|other| other.sent.prefill_ms).sum();
        let first = self
            .waiting
            .first()
            .map_or(0.0, |first| first.sent.prefill_ms + first.sent.overlap());
        let prefilled = (now.since(self.prefill_since).0 as f64).min(first);
        let overdue = self
            .overdue(now, |sent| sent.expected_wait)
            .min(MAX_OVERDUE);
        (ahead - prefilled).max(0.0) * pace + overdue
    }

    /// Returns the largest delay of a waiting request beyond its prefill time and the wait
    /// `expected` before it, in milliseconds.
    fn overdue(&self, now: Millis, expected: impl Fn(&QueuedPrompt) -> f64) -> f64 {
        let overdue = self.waiting.iter().map(|request| {
            let span = now.since(request.since).0 as f64;
            span - request.sent.latency - request.sent.prefill_ms - expected(&request.sent)
        });
        overdue.fold(0.0, f64::max)
    }

    /// Returns the total prefill time of the unanswered requests that this router placed itself, in
    /// milliseconds.
    pub(crate) fn pending(&self) -> f64 {
        let placed = self.waiting.iter().filter(|request| !request.sent.remote);
        placed.map(|request| request.sent.prefill_ms).sum()
    }

    /// Returns the pending prefill of other instances' requests, in milliseconds.
    pub(crate) fn remote_pending(&self) -> f64 {
        self.remote_pending
    }

    /// Sets the pending prefill of other instances' requests.
    pub(crate) fn set_remote_pending(&mut self, prefill_ms: f64) {
        self.remote_pending = prefill_ms;
    }

    fn remaining_wait(&self, now: Millis) -> f64 {
        let span = now.since(self.last_wait_at).0 as f64;
        (self.last_wait - DRAIN_RATE * span).max(0.0)
    }

    fn remove(&mut self, attempt: AttemptKey) -> Option<Waiting> {
        let index = self
            .waiting
            .iter()
            .position(|w| w.sent.attempt == attempt)?;
        Some(self.waiting.remove(index))
    }
}

/// Minimum and maximum accepted prefill rate, in tokens per millisecond.
const PREFILL_RATE_BOUNDS: (f64, f64) = (2.0, 1000.0);

/// Prefill rate assumed before the first answer. It is low so that the first estimates are
/// cautious.
const INITIAL_PREFILL_RATE: f64 = 25.0;

/// Minimum number of tokens for a sample. Shorter prompts measure network latency rather than
/// prefill: at 50 tokens per millisecond, an error of 10 ms in [`BASE_LATENCY`] makes the rate for
/// 540 tokens wrong by a factor of two, and for 1,500 tokens by a third.
const MIN_SAMPLE_TOKENS: f64 = 1500.0;

/// The prefill rate of a usual engine, learned from answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillRate(Median);

impl Default for PrefillRate {
    fn default() -> PrefillRate {
        PrefillRate(Median::with_initial(INITIAL_PREFILL_RATE))
    }
}

impl PrefillRate {
    /// Adds a sample: an answer began `span` milliseconds after `tokens` were sent for prefill
    /// behind `ahead` other tokens.
    ///
    /// The estimate follows the median of the samples. The tokens ahead are counted because
    /// otherwise each wait makes an engine look slow, and during a burst all prompts seem to take
    /// twice their time. A request whose prefix another request may already have had prefilled at
    /// that engine must not be sampled: it makes the engine look four times as fast, so prefilling
    /// a prefix again looks cheap and more prompts are sent away from the engines that have them
    /// cached.
    pub(crate) fn add_sample(&mut self, tokens: f64, tokens_ahead: f64, span: f64) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let rate = (tokens + tokens_ahead) / span.max(1.0);
        self.0
            .add(rate.clamp(PREFILL_RATE_BOUNDS.0, PREFILL_RATE_BOUNDS.1));
    }

    /// Returns how long the prefill of `tokens` takes, in milliseconds.
    pub(crate) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_ms()
    }

    /// Returns the prefill rate, in tokens per millisecond.
    pub(crate) fn tokens_per_ms(&self) -> f64 {
        self.0.value()
    }
}

/// Maximum number of tokens for a sample of the latency. Their prefill takes a small part of the
/// time to first token.
const MAX_LATENCY_TOKENS: f64 = 1000.0;

/// Minimum and maximum accepted latency, in milliseconds.
const LATENCY_BOUNDS: (f64, f64) = (5.0, 300.0);

/// The time to first token of an idle engine excluding prefill, learned from answers.
///
/// Where an event of a stream holds several tokens, the first one comes after as many steps. With
/// [`BASE_LATENCY`], those steps look like a queue in front of each engine that has just got a
/// prompt, and like slow prefill.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FirstTokenLatency(Option<Median>);

impl FirstTokenLatency {
    /// Adds a sample: an answer began `span` milliseconds after `tokens` were sent for prefill to an
    /// idle engine, of which the prefill takes `prefill_ms`.
    pub(crate) fn add_sample(&mut self, tokens: f64, prefill_ms: f64, span: f64) {
        if tokens > MAX_LATENCY_TOKENS {
            return;
        }
        let latency = span - prefill_ms;
        let initial = Median::with_initial(BASE_LATENCY);
        let median = self.0.get_or_insert(initial);
        median.add(latency.clamp(LATENCY_BOUNDS.0, LATENCY_BOUNDS.1));
    }

    /// Returns the latency of a usual engine, in milliseconds.
    pub(crate) fn latency_ms(&self) -> f64 {
        self.0.map_or(BASE_LATENCY, |median| median.value())
    }
}
