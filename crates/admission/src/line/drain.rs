//! How fast the requests of a line begin.

use std::collections::BTreeMap;

use crocushold_base::Millis;

/// Half-life of what was begun. The engines' speed for a mix of requests changes with the mix, which
/// a rush changes within a second.
const HALF_LIFE: Millis = Millis::from_secs(1);

/// Time with waiting requests from which the rate is known. In less, a few long requests decide it.
const MIN_TIME: f64 = 200.0;

/// Least share of the rate that a rank is assumed to have beside more urgent ones.
const MIN_SHARE: f64 = 0.05;

/// The tokens that began while requests waited, and for how long requests waited. At other times the
/// engines could have begun more.
#[derive(Clone, Debug, Default)]
pub(super) struct Drain {
    time: f64,
    tokens: BTreeMap<u8, f64>,
    requests: f64,
    updated: Millis,
}

impl Drain {
    /// Records that requests have waited, or not, since the last call.
    pub(super) fn advance(&mut self, waited: bool, now: Millis) {
        let span = now.since(self.updated).0 as f64;
        self.updated = self.updated.max(now);
        let kept = (-span / HALF_LIFE.0 as f64).exp2();
        self.time *= kept;
        self.requests *= kept;
        for tokens in self.tokens.values_mut() {
            *tokens *= kept;
        }
        if waited {
            self.time += span;
        }
    }

    /// Records a request that began while others waited.
    pub(super) fn record(&mut self, rank: u8, tokens: u64) {
        *self.tokens.entry(rank).or_default() += tokens as f64;
        self.requests += 1.0;
    }

    /// Mean time between two requests that begin; zero if that isn't known.
    pub(super) fn interval(&self) -> Millis {
        if self.time < MIN_TIME || self.requests <= 0.0 {
            return Millis::ZERO;
        }
        Millis((self.time / self.requests) as u64)
    }

    /// Tokens per millisecond that are left to a rank by more urgent ones; `None` if that isn't known.
    pub(super) fn rate(&self, rank: u8) -> Option<f64> {
        if self.time < MIN_TIME {
            return None;
        }
        let total: f64 = self.tokens.values().sum();
        let above: f64 = self.tokens.range(..rank).map(|(_, tokens)| tokens).sum();
        let left = (total - above).max(total * MIN_SHARE);
        (left > 0.0).then_some(left / self.time)
    }
}
