//! When a peer is asked at all.

use crocushold_base::Millis;

use crate::runtime::settings::Limits;

/// A circuit breaker: a frozen peer would make each caller wait for its deadline; after a few such
/// waits calls to it fail at once, and one call now and then tries whether it is back.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreaker {
    failures: u32,
    retry_at: Millis,
}

impl CircuitBreaker {
    /// Whether a call may be made; counts a trial call while the circuit is open.
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

    /// A call was answered.
    pub(crate) fn succeeded(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// A call wasn't answered.
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
