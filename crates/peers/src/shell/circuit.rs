//! Circuit breaker for calls to a peer.

use crocushold_base::Millis;

use crate::shell::settings::Limits;

/// A circuit breaker. Each call to an unresponsive peer would wait for its deadline; after several
/// consecutive failures, calls fail at once, and an occasional trial call checks whether the peer
/// has recovered.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreaker {
    failures: u32,
    retry_at: Millis,
}

impl CircuitBreaker {
    /// Returns whether a call may be made. While the circuit is open, a call that is allowed counts
    /// as a trial call.
    pub(crate) fn admit(&mut self, limits: &Limits, now: Millis) -> bool {
        if self.failures < limits.failure_threshold {
            return true;
        }
        if now < self.retry_at {
            return false;
        }
        self.retry_at = now + self.backoff(limits);
        true
    }

    /// Records an answered call.
    pub(crate) fn succeeded(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Records a call that wasn't answered.
    pub(crate) fn failed(&mut self, limits: &Limits, now: Millis) {
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + self.backoff(limits);
    }

    fn backoff(&self, limits: &Limits) -> Millis {
        let doublings = self
            .failures
            .saturating_sub(limits.failure_threshold)
            .min(16);
        Millis(limits.circuit_backoff.0 << doublings).min(limits.max_circuit_backoff)
    }
}
