//! The health of one server as seen from this instance's own attempts.

use crocushold_base::Millis;

use crate::settings::HealthSettings;

/// Why a server was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// It refused a connection, so nothing listens there. This is certain, so the server is ejected
    /// at once and doesn't count against the ejection limit.
    Refused,
    /// No connection could be established in time.
    Unreachable,
    /// Connections were cut in the middle of an answer, or it answered with server errors.
    Failing,
    /// No first byte arrived in time.
    Hung,
    /// It generates tokens far more slowly than its peers.
    Straggling,
    /// It reports overload while its peers don't.
    Overloaded,
    /// It asks instances for rest while its peers don't.
    Resting,
}

/// Whether a server accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It accepts its full share of requests.
    Serving,
    /// It accepts at most `limit` concurrent requests, one more after each success.
    Recovering { limit: u32 },
    /// It accepts no requests until `until`.
    Out { fault: Fault, until: Millis },
}

/// What a speed sample measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SampleKind {
    /// The gaps between the tokens of streams.
    TokenTime,
    /// A whole answer, including its prefill.
    WholeAnswer,
}

/// A sample of a server's speed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpeedSample {
    pub(crate) kind: SampleKind,
    /// The logarithm of its time relative to its peers.
    pub(crate) log_ratio: f64,
}

/// What to do after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Keep the server in use.
    Keep,
    /// Eject the server if the ejection limit allows it.
    Eject,
}

/// The slowness above which a sample counts against a server, as a fraction of the straggler ratio
/// on a logarithmic scale. Faster samples count in its favor.
const REFERENCE_SLOWNESS: f64 = 0.8;

/// The health of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    pub(crate) phase: Phase,
    failures: u32,
    /// How many of the failures are rejections with which it asked other instances for rest.
    rests: u32,
    last_failure: Millis,
    /// The cumulative sum of the evidence from speed samples against the server. One sample at the
    /// straggler ratio adds one.
    slow_sum: f64,
    last_slow: Millis,
    ejections: u32,
    on_trial: bool,
    /// Whether it was ejected last for rests that it asked other instances for.
    ejected_at_rest: bool,
    /// Whether it returns from an ejection rather than from overload.
    returning: bool,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            phase: Phase::Serving,
            failures: 0,
            rests: 0,
            last_failure: Millis::ZERO,
            slow_sum: 0.0,
            last_slow: Millis::ZERO,
            ejections: 0,
            on_trial: false,
            ejected_at_rest: false,
            returning: false,
        }
    }
}

impl Health {
    /// Returns true while a failure or a slow sample counts against the server.
    pub(crate) fn is_suspect(&self) -> bool {
        self.failures > 0 || self.slow_sum > 0.0
    }

    /// Returns the number of consecutive failures.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the number of consecutive failures for which requests avoid the server. Rests that other
    /// instances were asked for aren't among them: it has harmed no request, and serves the instances that it
    /// hasn't asked.
    pub(crate) fn avoided_failures(&self) -> u32 {
        self.failures - self.rests
    }

    /// Returns true from the end of an ejection until the first success, unless it was ejected for rests that
    /// other instances were asked for.
    pub(crate) fn is_doubted(&self) -> bool {
        self.on_trial && !self.ejected_at_rest
    }

    /// Returns true while the server is ejected on suspicion, which counts against the ejection
    /// limit.
    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Out { fault, .. } if fault != Fault::Refused)
    }

    /// Returns true while the server is ejected for any reason.
    pub(crate) fn is_out(&self) -> bool {
        matches!(self.phase, Phase::Out { .. })
    }

    /// Records a failed attempt.
    pub(crate) fn record_failure(
        &mut self,
        settings: &HealthSettings,
        fault: Fault,
        now: Millis,
    ) -> Verdict {
        if self.is_out() {
            return Verdict::Keep;
        }
        let separate = now.since(self.last_failure) >= settings.min_failure_gap;
        if self.failures == 0 || separate {
            self.failures += 1;
            self.rests += u32::from(fault == Fault::Resting);
            self.last_failure = now;
        }
        if self.on_trial || self.failures >= settings.max_failures {
            Verdict::Eject
        } else {
            Verdict::Keep
        }
    }

    /// Records a sample of the server's speed.
    ///
    /// A cumulative sum detects a lasting shift in the fewest samples: one at the straggler ratio
    /// or slower adds one, and one as fast as the peers subtracts four. A running mean, which has
    /// to climb from its earlier value, needs eleven samples for a server that is four times
    /// slower.
    pub(crate) fn record_speed(
        &mut self,
        settings: &HealthSettings,
        sample: SpeedSample,
        now: Millis,
    ) -> Verdict {
        if self.is_out() {
            return Verdict::Keep;
        }
        let limit = settings.straggler_ratio.ln().max(f64::MIN_POSITIVE);
        let gain = (sample.log_ratio / limit - REFERENCE_SLOWNESS) / (1.0 - REFERENCE_SLOWNESS);
        // A single pause of the server slows every stream on it, and all of them end soon after the
        // pause. If their samples were counted separately, the server would be ejected for a pause
        // that is over.
        if gain > 0.0 && self.slow_sum > 0.0 && now.since(self.last_slow) < settings.min_failure_gap
        {
            return Verdict::Keep;
        }
        if gain > 0.0 {
            self.last_slow = now;
        }
        self.slow_sum = (self.slow_sum + gain.min(1.0)).max(0.0);
        // The first stream after an ejection shows whether its cause persists. A whole answer
        // doesn't, since its prompt found a cold cache.
        let still_slow = self.on_trial && sample.kind == SampleKind::TokenTime && gain >= 1.0;
        if still_slow || self.slow_sum >= f64::from(settings.slow_samples) {
            Verdict::Eject
        } else {
            Verdict::Keep
        }
    }

    /// Ejects the server and returns when it comes back. `jitter` in 0..1 spreads the returns that
    /// many instances compute.
    pub(crate) fn eject(
        &mut self,
        fault: Fault,
        settings: &HealthSettings,
        jitter: f64,
        now: Millis,
    ) -> Millis {
        let (base, max) = match fault {
            Fault::Refused => (settings.refused_base, settings.refused_max),
            _ => (settings.eject_base, settings.eject_max),
        };
        let doubled = base.0.saturating_mul(1 << self.ejections.min(16));
        let span = doubled.min(max.0) as f64 * (0.8 + 0.4 * jitter);
        let until = now + Millis(span as u64);
        self.phase = Phase::Out { fault, until };
        self.ejected_at_rest = fault == Fault::Resting;
        self.forget_failures();
        self.slow_sum = 0.0;
        self.ejections += 1;
        until
    }

    /// Lets the server return with one request at a time.
    pub(crate) fn start_recovery(&mut self) {
        self.phase = Phase::Recovering { limit: 1 };
        self.on_trial = true;
        self.returning = true;
        self.forget_failures();
        self.slow_sum = 0.0;
    }

    /// Lets the server return with one request at a time from a rest that it asked for. Unlike after
    /// an ejection, it isn't on trial.
    pub(crate) fn end_rest(&mut self) {
        if !self.is_out() {
            self.phase = Phase::Recovering { limit: 1 };
            self.returning = true;
        }
    }

    /// Halves the limit of a server with `in_flight` attempts, since it reports that it has too
    /// many.
    pub(crate) fn halve_limit(&mut self, in_flight: u32) {
        if !self.is_out() {
            let limit = (in_flight / 2).max(1);
            self.phase = Phase::Recovering { limit };
            self.returning = false;
        }
    }

    /// Records an answer that began in time; `share` is the server's full limit.
    ///
    /// If only whole answers raised the limit, most slots of a returned server would stay idle for
    /// seconds. Until one answer is whole, half of the slots stay unused: a server that begins
    /// answers and cuts them can't lose more than that at a time, and a failed request ejects it at
    /// once.
    pub(crate) fn record_first_byte(&mut self, share: u32) {
        if !self.returning {
            return;
        }
        let max = if self.on_trial {
            share.div_ceil(2)
        } else {
            share
        };
        self.raise_limit(max);
    }

    /// Records a success; `share` is the server's full limit.
    pub(crate) fn record_success(&mut self, share: u32) {
        self.forget_failures();
        self.on_trial = false;
        self.raise_limit(share);
        if matches!(self.phase, Phase::Recovering { limit } if limit >= share) {
            self.phase = Phase::Serving;
            self.returning = false;
            // The count decays instead of being reset, so that a flapping server waits longer each
            // time.
            self.ejections /= 2;
        }
    }

    fn forget_failures(&mut self) {
        self.failures = 0;
        self.rests = 0;
    }

    /// Raises the limit by one request, up to `max`.
    fn raise_limit(&mut self, max: u32) {
        if let Phase::Recovering { limit } = &mut self.phase {
            *limit = (*limit + 1).min(max).max(*limit);
        }
    }

    /// Runs expired timers: returns an ejected server, forgets an old failure. Returns when the
    /// next timer expires.
    pub(crate) fn expire(&mut self, settings: &HealthSettings, now: Millis) -> Option<Millis> {
        match self.phase {
            Phase::Out { until, .. } if until <= now => {
                self.start_recovery();
                None
            }
            Phase::Out { until, .. } => Some(until),
            _ if self.failures == 0 => None,
            _ => {
                let due = self.last_failure + settings.failure_memory;
                if due <= now {
                    self.forget_failures();
                    return None;
                }
                Some(due)
            }
        }
    }

    /// Returns when the failure expires, if it is the first one.
    pub(crate) fn failure_expires(&self, settings: &HealthSettings) -> Option<Millis> {
        (self.failures == 1).then(|| self.last_failure + settings.failure_memory)
    }
}
