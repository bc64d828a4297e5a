//! Live streams at one engine, and the pauses that prompts prefilled beside them cause.
//!
//! An event of a stream holds several tokens, each from one step of the engine, and while prompts
//! wait for their prefill each step also prefills a chunk of one. So an event takes its steps and,
//! in addition, up to as many chunks as it has tokens, or all that waits if that is less. On an
//! engine with little to prefill, live streams and prompts can share the steps; a queue of prompts
//! makes every live stream there pause for too long.

use crocushold_base::Millis;

/// Prompt tokens that an engine prefills in one step. Engines of current services use this size.
const CHUNK_TOKENS: f64 = 2048.0;

/// Duration of a decoding step, in which each running request generates a token, in milliseconds.
pub const STEP_MS: f64 = 8.0;

/// Fraction of the longest tolerable pause that an expected one, or a usual one, may take. Half of
/// the streams pause for longer than the median, and some engines are slower than the mean.
pub(crate) const PAUSE_TOLERANCE: f64 = 0.85;

/// Fraction of the longest tolerable pause below which a pause that was expected to be too long no
/// longer is. The expected pause follows the learned prefill rate, which swings.
const RELEASED_TOLERANCE: f64 = 0.7;

/// Variation of an event's way from the engine to the caller, in milliseconds.
const NETWORK_JITTER: f64 = 20.0;

/// The effect of prefills on the streams of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PauseModel {
    /// Tokens in one event of a stream.
    event_tokens: f64,
}

impl PauseModel {
    pub(crate) fn new(event_tokens: u32) -> PauseModel {
        PauseModel {
            event_tokens: f64::from(event_tokens),
        }
    }

    /// Whether a stream beside prompts is expected to pause for longer than `max_pause`, at engines
    /// that prefill `rate` tokens per millisecond. `was_expected` is the last answer.
    pub(crate) fn expects_delays(&self, max_pause: Millis, rate: f64, was_expected: bool) -> bool {
        let tolerance = if was_expected {
            RELEASED_TOLERANCE
        } else {
            PAUSE_TOLERANCE
        };
        let steps = self.event_tokens * STEP_MS;
        let chunks = self.event_tokens * CHUNK_TOKENS / rate;
        let max_pause = max_pause.0 as f64;
        steps < max_pause && steps + chunks > max_pause * tolerance
    }

    /// Returns how much prefill may wait at an engine before a stream there pauses for longer than
    /// `max_pause`, in milliseconds; `None` if no amount causes that, or the steps alone do. The
    /// engine prefills `rate` tokens per millisecond, and its steps take `step_factor` times as long
    /// as usual.
    pub(crate) fn tolerated_prefill(
        &self,
        max_pause: Millis,
        rate: f64,
        step_factor: f64,
    ) -> Option<f64> {
        let max_pause = max_pause.0 as f64;
        let steps = self.event_tokens * STEP_MS * step_factor;
        let chunks = self.event_tokens * CHUNK_TOKENS / rate;
        if steps >= max_pause || steps + chunks <= max_pause * PAUSE_TOLERANCE {
            return None;
        }
        Some((max_pause - steps - NETWORK_JITTER).max(0.0))
    }
}

/// The live streams at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LiveStreams {
    /// Streams that no prompt has delayed yet.
    undisturbed: u32,
    /// Prefill that all of them tolerate, in milliseconds.
    tolerated: f64,
    /// Number of times that prompts have delayed all streams.
    disturbances: u32,
}

/// A live stream's membership of [`LiveStreams`], for its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LiveTicket(u32);

impl LiveStreams {
    /// Adds a stream that tolerates `tolerated` milliseconds of prefill.
    pub(crate) fn add(&mut self, tolerated: f64) -> LiveTicket {
        self.tolerated = if self.undisturbed == 0 {
            tolerated
        } else {
            self.tolerated.min(tolerated)
        };
        self.undisturbed += 1;
        LiveTicket(self.disturbances)
    }

    /// Removes a stream that has ended.
    pub(crate) fn remove(&mut self, ticket: LiveTicket) {
        if ticket.0 == self.disturbances {
            self.undisturbed = self.undisturbed.saturating_sub(1);
        }
    }

    /// Returns how many streams pause for too long if `prefill` milliseconds of prompts wait. A
    /// stream that is late already isn't counted, as it can't be saved.
    pub(crate) fn delayed_by(&self, prefill: f64) -> u32 {
        if prefill > self.tolerated {
            self.undisturbed
        } else {
            0
        }
    }

    /// Records that `prefill` milliseconds of prompts wait.
    pub(crate) fn record_prefill(&mut self, prefill: f64) {
        if self.delayed_by(prefill) > 0 {
            self.undisturbed = 0;
            self.disturbances = self.disturbances.wrapping_add(1);
        }
    }
}
