//! The servers that hold one model.

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use crate::answer_times::AnswerTimes;
use crate::ring::Ring;
use crate::settings::Settings;
use crate::stats::Ewma;
use crate::stats::Quantile;

/// Weight of a sample in a server's slowness.
pub(crate) const SERVER_ALPHA: f64 = 0.2;

/// Samples that a pool needs before its mean can show that a server is slow.
const MIN_SAMPLES: u32 = 16;

/// How far the estimate of the 99th percentile may fluctuate below the actual times, as a factor.
const P99_MARGIN: f64 = 1.25;

/// A server with a free slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenServer {
    /// The server.
    pub(crate) server: ServerKey,
    /// The index in the server's memberships.
    pub(crate) member: usize,
}

/// The servers that hold one model, or all servers.
///
/// Servers with a free slot are kept in an array of their own, so that sampling needs no scan
/// however many servers are full or ejected.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    pub(crate) open: Vec<OpenServer>,
    pub(crate) free: usize,
    /// Members that accept requests, with or without free slots.
    pub(crate) usable: usize,
    pub(crate) members: usize,
    pub(crate) ring: Ring,
    token_time: Ewma,
    answer_times: AnswerTimes,
    first_byte_p99: Quantile,
}

impl Pool {
    /// Adds a server's time per token, in milliseconds. Returns the logarithm of its ratio to the
    /// mean of the pool, once there are enough samples.
    ///
    /// The mean is taken over logarithms, so one straggler among many barely changes it. It moves
    /// twice as fast as a server's own estimate when all servers change speed together, so that
    /// none of them looks slow relative to the others.
    pub(crate) fn record_token_time(&mut self, sample: f64) -> Option<f64> {
        let log = sample.max(0.01).ln();
        let ratio = log - self.token_time.mean();
        let known = self.token_time.count() >= MIN_SAMPLES;
        self.token_time.add(log, self.alpha());
        known.then_some(ratio)
    }

    /// Adds the time of a whole answer in milliseconds, like [`Pool::record_token_time`] for that
    /// of a token.
    pub(crate) fn record_answer_time(
        &mut self,
        prompt: u32,
        output: u32,
        span: f64,
    ) -> Option<f64> {
        let alpha = self.alpha();
        self.answer_times.add(prompt, output, span, alpha)
    }

    fn alpha(&self) -> f64 {
        (2.0 * SERVER_ALPHA / self.members.max(1) as f64).min(1.0)
    }

    /// Adds a time to first byte.
    pub(crate) fn record_first_byte(&mut self, span: Millis) {
        self.first_byte_p99.add(span);
    }

    /// Returns true if a first byte came as soon as nearly all of them do. A returning straggler
    /// doesn't get a higher limit for answers that begin late.
    pub(crate) fn is_typical(&self, span: Millis) -> bool {
        let p99 = self.first_byte_p99.value();
        p99.is_some_and(|p99| span.0 as f64 <= p99 * P99_MARGIN)
    }

    /// Returns the first-byte timeout.
    pub(crate) fn first_byte_timeout(&self, settings: &Settings) -> Millis {
        let Some(quantile) = self.first_byte_p99.value() else {
            return settings.first_byte_ceiling;
        };
        let wait = Millis((quantile * settings.first_byte_multiple) as u64);
        wait.max(settings.first_byte_floor)
            .min(settings.first_byte_ceiling)
    }
}
