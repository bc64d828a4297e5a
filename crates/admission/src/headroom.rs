//! Slots that lower tiers leave free, so that a burst of the live tier starts soon.
//!
//! Started work is never preempted. A burst of the live tier therefore waits for slots to be
//! released, which at steady load is soon: with many slots several are released every second. Only
//! the part of a burst that the releases of one window don't absorb needs free slots beforehand.

use crocushold_base::Millis;

use crate::decay::DecayingSum;
use crate::settings::HeadroomSettings;

/// Follows the bursts of the live tier.
#[derive(Debug)]
pub(crate) struct Headroom {
    settings: HeadroomSettings,
    window_end: Millis,
    arrivals: u32,
    /// Largest number of arrivals in one window, fading.
    peak: f64,
    /// Slot time left idle for the headroom, and slot time in all.
    idle: DecayingSum,
    total: DecayingSum,
    seen: Millis,
    kept: u32,
}

impl Headroom {
    pub(crate) fn new(settings: HeadroomSettings) -> Headroom {
        let half_life = settings.half_life;
        Headroom {
            settings,
            window_end: Millis::ZERO,
            arrivals: 0,
            peak: 0.0,
            idle: DecayingSum::new(half_life),
            total: DecayingSum::new(half_life),
            seen: Millis::ZERO,
            kept: 0,
        }
    }

    pub(crate) fn window(&self) -> Millis {
        self.settings.window
    }

    /// Slots that are kept at present.
    pub(crate) fn kept(&self) -> u32 {
        self.kept
    }

    /// Counts an arrival of the live tier.
    pub(crate) fn arrived(&mut self, now: Millis) {
        self.roll(now);
        self.arrivals += 1;
        self.peak = self.peak.max(f64::from(self.arrivals));
    }

    /// Books the time since the last call, in which `idle` slots stood free while lower work was
    /// queued.
    pub(crate) fn book(&mut self, idle: u32, slots: u32, gap: Millis, now: Millis) {
        let span = now.since(self.seen).0.min(gap.0) as f64;
        self.seen = now;
        if span > 0.0 {
            self.idle.add(span * f64::from(idle), now);
            self.total.add(span * f64::from(slots), now);
        }
    }

    /// Works out how many of `slots` to keep, where `absorbed` arrivals a window find a slot that
    /// was just released.
    pub(crate) fn update(&mut self, slots: u32, absorbed: f64, now: Millis) {
        self.roll(now);
        let all = f64::from(slots);
        let wanted = (self.peak - absorbed).max(0.0);
        let most = all * self.settings.most;
        let least = all * self.settings.least;
        let kept = if self.over_budget(now) {
            least
        } else {
            wanted.min(most).max(least)
        };
        self.kept = (kept as u32).min(slots.saturating_sub(1));
    }

    fn over_budget(&self, now: Millis) -> bool {
        self.idle.rate(now) > self.total.rate(now) * self.settings.idle_budget
    }

    fn roll(&mut self, now: Millis) {
        if now < self.window_end {
            return;
        }
        let window = self.settings.window.0.max(1);
        let passed = now.since(self.window_end).0 / window + 1;
        let halves = (passed * window) as f64 / self.settings.half_life.0.max(1) as f64;
        self.peak *= (-halves).exp2();
        self.arrivals = 0;
        self.window_end = now + Millis(window);
    }
}
