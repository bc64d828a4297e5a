//! An instance's share of the platform's read budget.

use crocushold_base::Millis;
use rand::Rng;
use rand::RngExt;

use crate::spread::SpreadSettings;

/// Maximum `Retry-After` that is honoured. Without a limit, a mistaken value of days would keep the
/// instance at its configuration, with nothing reported, until it is restarted; one call a minute
/// is negligible load.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(60);

/// Token bucket for platform calls, with a backoff after calls that brought nothing new.
#[derive(Debug)]
pub(super) struct Budget {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Millis,
    not_before: Millis,
    backoff: Millis,
}

impl Budget {
    pub(super) fn new(settings: &SpreadSettings, now: Millis) -> Budget {
        Budget {
            rate: settings.instance_rate,
            burst: settings.instance_rate.max(1.0),
            tokens: settings.instance_rate.max(1.0),
            refilled_at: now,
            not_before: Millis::ZERO,
            backoff: Millis::ZERO,
        }
    }

    /// Sets this instance's share of a `rate` in calls per second that `instances` divide among
    /// them.
    pub(super) fn set_share(&mut self, rate: f64, instances: usize) {
        self.rate = (rate / instances.max(1) as f64).min(self.burst);
    }

    /// Takes a token if one is available and no backoff is in progress.
    pub(super) fn take(&mut self, now: Millis) -> bool {
        let span = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + span * self.rate).min(self.burst);
        self.refilled_at = now;
        if now < self.not_before || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Resets the backoff after a call that brought news, or that waited as long as it should.
    pub(super) fn succeeded(&mut self) {
        self.backoff = Millis::ZERO;
    }

    /// Backs off after a call that failed or returned at once without news. The delay doubles: a
    /// watch that returns at once would otherwise be repeated as fast as the network allows, and
    /// use up the budget of all instances.
    pub(super) fn back_off(
        &mut self,
        settings: &SpreadSettings,
        retry_after: Option<Millis>,
        rng: &mut impl Rng,
        now: Millis,
    ) {
        let doubled = Millis(self.backoff.0 * 2);
        self.backoff = doubled.clamp(settings.backoff, settings.max_backoff);
        let jitter = rng.random_range(0..=self.backoff.0 / 4);
        let wait = Millis(self.backoff.0 + jitter);
        let asked = retry_after.unwrap_or_default().min(MAX_RETRY_AFTER);
        self.not_before = now + wait.max(asked);
    }
}
