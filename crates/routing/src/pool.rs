//! The servers that hold one model.

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use crate::peers::Wholes;
use crate::ring::Ring;
use crate::settings::Settings;
use crate::stats::Ewma;
use crate::stats::Quantile;

/// Weight of one sample in a server's slowness.
pub(crate) const SERVER_ALPHA: f64 = 0.2;

/// Samples that a pool needs before its mean says who is slow.
const ENOUGH: u32 = 16;

/// How far the estimate of the 99th percentile may waver below the times that it stands for.
const MARGIN: f64 = 1.25;

/// A server with a free slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Open {
    /// The server.
    pub(crate) server: ServerKey,
    /// Which of the server's memberships this is.
    pub(crate) member: usize,
}

/// The servers that hold one model, or all servers.
///
/// Those with a free slot stand in an array of their own, so that a choice samples them without a
/// scan however many are full or out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    pub(crate) open: Vec<Open>,
    pub(crate) free: usize,
    /// Members that are in, with free slots or without.
    pub(crate) usable: usize,
    pub(crate) members: usize,
    pub(crate) ring: Ring,
    pace: Ewma,
    wholes: Wholes,
    first_byte: Quantile,
}

impl Pool {
    /// Takes in a server's time for each token, in milliseconds; returns the logarithm of its ratio
    /// to the mean of the pool, once there is a mean.
    ///
    /// The mean is of logarithms: one straggler among many barely moves it. It moves twice as fast
    /// as a server's own estimate when all servers change pace together, so that none of them looks
    /// slow relative to the others.
    pub(crate) fn pace(&mut self, sample: f64) -> Option<f64> {
        let log = sample.max(0.01).ln();
        let ratio = log - self.pace.mean();
        let known = self.pace.count() >= ENOUGH;
        self.pace.add(log, self.alpha());
        known.then_some(ratio)
    }

    /// Takes in the time of a whole answer in milliseconds, as [`Pool::pace`] takes that of a token.
    pub(crate) fn whole(&mut self, prompt: u32, output: u32, span: f64) -> Option<f64> {
        let alpha = self.alpha();
        self.wholes.add(prompt, output, span, alpha)
    }

    fn alpha(&self) -> f64 {
        (2.0 * SERVER_ALPHA / self.members.max(1) as f64).min(1.0)
    }

    /// Takes in the time to a first byte.
    pub(crate) fn first_byte(&mut self, span: Millis) {
        self.first_byte.add(span);
    }

    /// True if a first byte came as soon as nearly all of them do. A straggler that comes back isn't
    /// given more for answers that begin late.
    pub(crate) fn is_usual(&self, span: Millis) -> bool {
        let most = self.first_byte.value();
        most.is_some_and(|most| span.0 as f64 <= most * MARGIN)
    }

    /// How long to wait for a first byte.
    pub(crate) fn first_byte_timeout(&self, settings: &Settings) -> Millis {
        let Some(quantile) = self.first_byte.value() else {
            return settings.first_byte_ceiling;
        };
        let wait = Millis((quantile * settings.first_byte_multiple) as u64);
        wait.max(settings.first_byte_floor)
            .min(settings.first_byte_ceiling)
    }
}
