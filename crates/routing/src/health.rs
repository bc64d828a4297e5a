//! The health of one server as seen from this instance's own attempts.

use crocushold_base::Millis;

use crate::settings::HealthSettings;

/// Why a server was taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// It refused a connection: nothing listens there. A fact, not a suspicion, so it takes the
    /// server out at once and doesn't count against the ceiling on ejections.
    Refused,
    /// No connection could be made in time.
    Unreachable,
    /// Connections were cut in the middle of an answer, or it answered with server errors.
    Failing,
    /// No first byte came in time.
    Hung,
    /// It generates far more slowly than its peers.
    Straggling,
    /// It answers that it is overloaded while its peers don't.
    Overloaded,
}

/// Whether a server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It takes its full share.
    Serving,
    /// It takes at most `limit` requests at a time, one more with each success.
    Recovering { limit: u32 },
    /// It takes nothing until then.
    Out { fault: Fault, until: Millis },
}

/// What a sample of a server's speed is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Gaps between the tokens of streams.
    Pace,
    /// A whole answer, its prompt included.
    Whole,
}

/// A sample of a server's speed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) kind: Kind,
    /// The logarithm of its time relative to the peers'.
    pub(crate) ratio: f64,
}

/// What a failure asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing yet.
    Keep,
    /// Out, if the router's ceiling allows.
    Eject,
}

/// The slowness from which on a sample counts against a server, as a part of the straggler's ratio
/// on a logarithmic scale; faster samples count for it.
const REFERENCE: f64 = 0.8;

/// Health of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    pub(crate) phase: Phase,
    strikes: u32,
    struck: Millis,
    /// The cumulative sum of what samples of its speed say against it, in samples at the ratio.
    slow: f64,
    slowed: Millis,
    outs: u32,
    on_trial: bool,
    /// It comes back from being out, rather than from being overloaded.
    returns: bool,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            phase: Phase::Serving,
            strikes: 0,
            struck: Millis::ZERO,
            slow: 0.0,
            slowed: Millis::ZERO,
            outs: 0,
            on_trial: false,
            returns: false,
        }
    }
}

impl Health {
    /// True while a failure or slow sample stands against the server.
    pub(crate) fn suspect(&self) -> bool {
        self.strikes > 0 || self.slow > 0.0
    }

    /// Consecutive failures so far.
    pub(crate) fn strikes(&self) -> u32 {
        self.strikes
    }

    /// True from a return until the first success.
    pub(crate) fn on_trial(&self) -> bool {
        self.on_trial
    }

    /// True while the server is out on suspicion, which counts against the ceiling.
    pub(crate) fn ejected(&self) -> bool {
        matches!(self.phase, Phase::Out { fault, .. } if fault != Fault::Refused)
    }

    /// True while the server is out for whatever reason.
    pub(crate) fn is_out(&self) -> bool {
        matches!(self.phase, Phase::Out { .. })
    }

    /// Counts a failure of an attempt.
    pub(crate) fn strike(&mut self, settings: &HealthSettings, now: Millis) -> Verdict {
        if self.is_out() {
            return Verdict::Keep;
        }
        let apart = now.since(self.struck) >= settings.min_failure_gap;
        if self.strikes == 0 || apart {
            self.strikes += 1;
            self.struck = now;
        }
        if self.on_trial || self.strikes >= settings.max_failures {
            Verdict::Eject
        } else {
            Verdict::Keep
        }
    }

    /// Counts a sample of the server's speed.
    ///
    /// A cumulative sum finds a lasting shift in the fewest samples: one at the straggler's ratio
    /// or slower adds one, one as fast as the peers takes away four. A running mean, which has to
    /// climb from what it was, needs eleven samples for a server that is four times slower.
    pub(crate) fn speed(
        &mut self,
        settings: &HealthSettings,
        sample: Sample,
        now: Millis,
    ) -> Verdict {
        if self.is_out() {
            return Verdict::Keep;
        }
        let limit = settings.straggler_ratio.ln().max(f64::MIN_POSITIVE);
        let gain = (sample.ratio / limit - REFERENCE) / (1.0 - REFERENCE);
        // One pause of the server slows every stream on it: were their samples counted apart, it
        // would go out for a moment that is over. All of them end soon after the pause.
        if gain > 0.0 && self.slow > 0.0 && now.since(self.slowed) < settings.min_failure_gap {
            return Verdict::Keep;
        }
        if gain > 0.0 {
            self.slowed = now;
        }
        self.slow = (self.slow + gain.min(1.0)).max(0.0);
        // It was out for a reason, and the first stream tells whether that is over. A whole answer
        // doesn't: its prompt found a cold cache.
        let still_slow = self.on_trial && sample.kind == Kind::Pace && gain >= 1.0;
        if still_slow || self.slow >= f64::from(settings.slow_samples) {
            Verdict::Eject
        } else {
            Verdict::Keep
        }
    }

    /// Takes the server out. `jitter` in 0..1 spreads the returns as seen by many instances.
    /// Returns when it comes back.
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
        let doubled = base.0.saturating_mul(1 << self.outs.min(16));
        let span = doubled.min(max.0) as f64 * (0.8 + 0.4 * jitter);
        let until = now + Millis(span as u64);
        self.phase = Phase::Out { fault, until };
        self.strikes = 0;
        self.slow = 0.0;
        self.outs += 1;
        until
    }

    /// Lets the server back for one request at a time.
    pub(crate) fn probe(&mut self) {
        self.phase = Phase::Recovering { limit: 1 };
        self.on_trial = true;
        self.returns = true;
        self.strikes = 0;
        self.slow = 0.0;
    }

    /// Halves the limit of a server with `in_flight` attempts, as it says that it has too many.
    pub(crate) fn back_off(&mut self, in_flight: u32) {
        if !self.is_out() {
            let limit = (in_flight / 2).max(1);
            self.phase = Phase::Recovering { limit };
            self.returns = false;
        }
    }

    /// Counts an answer that began in good time; `share` is the server's full limit.
    ///
    /// Waiting for whole answers alone would leave most slots of a server that came back idle for
    /// seconds. Until one was whole, half of them stay so: a server that begins answers and cuts
    /// them can't lose more at a time, and a request that fails takes it out at once.
    pub(crate) fn begin(&mut self, share: u32) {
        if !self.returns {
            return;
        }
        let most = if self.on_trial {
            share.div_ceil(2)
        } else {
            share
        };
        self.widen(most);
    }

    /// Counts a success; `share` is the server's full limit.
    pub(crate) fn succeed(&mut self, share: u32) {
        self.strikes = 0;
        self.on_trial = false;
        self.widen(share);
        if matches!(self.phase, Phase::Recovering { limit } if limit >= share) {
            self.phase = Phase::Serving;
            self.returns = false;
            // Not forgotten at once: a server that flaps waits longer each time.
            self.outs /= 2;
        }
    }

    /// One request more at a time, up to `most`.
    fn widen(&mut self, most: u32) {
        if let Phase::Recovering { limit } = &mut self.phase {
            *limit = (*limit + 1).min(most).max(*limit);
        }
    }

    /// Runs timers out: returns an ejected server, forgets an old failure. Says when to come back
    /// for the next one.
    pub(crate) fn expire(&mut self, settings: &HealthSettings, now: Millis) -> Option<Millis> {
        match self.phase {
            Phase::Out { until, .. } if until <= now => {
                self.probe();
                None
            }
            Phase::Out { until, .. } => Some(until),
            _ if self.strikes == 0 => None,
            _ => {
                let due = self.struck + settings.failure_memory;
                if due <= now {
                    self.strikes = 0;
                    return None;
                }
                Some(due)
            }
        }
    }

    /// When the first failure is forgotten, if this one is the first.
    pub(crate) fn memory_ends(&self, settings: &HealthSettings) -> Option<Millis> {
        (self.strikes == 1).then(|| self.struck + settings.failure_memory)
    }
}
